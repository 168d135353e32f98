#!/usr/bin/env bash
# Runs the commands of the README as written there, with the files of examples/ and the
# ports that these files name.
set -u
cd "$(dirname "$0")/.."
. scenario/lib.sh

start platform bin/galenastair-standin platform -listen 127.0.0.1:9000 -models 1 -adapters 0 -model-load 200ms
wait_port 9000 platform
start engine bin/galenastair-standin engine -id engine-1 -zone zone-a -listen 127.0.0.1:9001 -platform 127.0.0.1:9000
wait_port 9001 engine
expect "check" "examples/entry.ini: valid" bin/galenastair check examples/entry.ini examples/gateway.ini examples/Himalbyte.contract
start entry bin/galenastair entry -settings examples/entry.ini
wait_port 8101 entry
expect "publish" "accepted" sh -c "bin/galenastair contract publish -settings examples/entry.ini examples/Himalbyte.contract | grep -o '^accepted.*'"
key=$(bin/galenastair key give -settings examples/entry.ini Himalbyte | sed -n 's/^key=//p')
entry_answers() { bin/galenastair call -entry 127.0.0.1:8001 -key "$key" -model model-1 "Hello" | grep -o "status=200"; }
for _ in $(seq 100); do
	[ -n "$(entry_answers 2>/dev/null)" ] && break
	sleep 0.1
done
expect "call" "status=200" entry_answers
expect "status" "INSTANCE" bin/galenastair status -operators 127.0.0.1:8101

start store bin/galenastair-standin store -listen 127.0.0.1:9100
wait_port 9100 store
start gateway bin/galenastair gateway -settings examples/gateway.ini
wait_port 8304 gateway
expect "status of a gateway" "INSTANCE" bin/galenastair status -metrics 127.0.0.1:8304
finish readme
