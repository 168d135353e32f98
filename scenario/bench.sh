#!/usr/bin/env bash
# Measures the overhead of an entry instance. Sends the same load to one fake engine,
# directly and through one entry instance, at several rates and with 1,000 open streams.
# Engine and entry instance use 4 processors each.
set -u
cd "$(dirname "$0")/.."
. scenario/lib.sh

export GOMAXPROCS=4
start_platform -models 1 -adapters 0 -model-load 100ms
start_engine engine-1 zone-a -preload model-1 -step 1ms -step-request 0 -prefill-token 0 \
	-batch 4096 -cache-memory 137438953472 -resume-for 2s -waiting 8192
engine=$allotted
start_entry entry-1 zone-a
publish Bench 100000000 1000000000 model-1 "" >/dev/null
key=$(give_key Bench)
wait_ready entry-1
wait_model entry-1 "$key" model-1
unset GOMAXPROCS
bin/galenastair-standin bench -engine "127.0.0.1:$engine" -entry "127.0.0.1:${caller_port[entry-1]}" \
	-engine-process "${pid_of[engine-1]}" -entry-process "${pid_of[entry-1]}" -key "$key" \
	-rates "${RATES:-100,1000,2000}" -streams "${STREAMS:-1000}" -duration "${DURATION:-5s}"
finish bench
