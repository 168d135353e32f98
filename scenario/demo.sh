#!/usr/bin/env bash
# End-to-end test with separate processes: a fake platform, 4 engines in 2 availability
# zones, a plain service and 3 entry instances. Publishes two contracts and sends calls
# through each entry instance, also with an unknown key and with a withdrawn key. Prints
# one line per call and ends all processes that it starts.
set -u
cd "$(dirname "$0")/.."
. scenario/lib.sh

start_platform -models 6 -adapters 2 -model-load 200ms
start_engine engine-1 zone-a
start_engine engine-2 zone-a
start_engine engine-3 zone-b
start_engine engine-4 zone-b
start_service service-1 zone-a bids
start_entry entry-1 zone-a
start_entry entry-2 zone-b
start_entry entry-3 zone-a

publish Himalbyte 20000 100000 model-1,model-2,model-3,adapter-1 ""
publish Furnir 20000 100000 model-4,model-5,model-6,adapter-2 bids
himalbyte=$(give_key Himalbyte)
furnir=$(give_key Furnir)
leaked=$(give_key Furnir)

wait_ready entry-1 entry-2 entry-3
for n in 1 2 3; do
	wait_model entry-$n "$himalbyte" model-$n
	wait_model entry-$n "$furnir" model-$((n + 3))
done

for n in 1 2 3; do
	expect "model-$n through entry-$n" "status=200 outcome=Ran code= whole=true" \
		call entry-$n "$himalbyte" -stream -model model-$n "Draft the diary entry of child $n: ate well, slept an hour."
	expect "model-$((n + 3)) through entry-$n" "status=200 outcome=Ran code= whole=true" \
		call entry-$n "$furnir" -stream -model model-$((n + 3)) "Describe walnut flitch $n, 24 sheets."
done
expect "a bid" "status=200 outcome=Ran" call entry-2 "$furnir" -service bids/lots/7 -idempotency-key bid-7-1 '{"Bid":120}'
expect "the same bid again, elsewhere" "status=409 outcome=Ran code=Duplicate" \
	call entry-3 "$furnir" -service bids/lots/7 -idempotency-key bid-7-1 '{"Bid":120}'
expect "a wrong key" "status=401 outcome=NotRun code=KeyUnknown" call entry-1 no-such-key -model model-1 hello
expect "a model outside the contract" "status=403 outcome=NotRun code=NotPermitted" call entry-1 "$furnir" -model model-1 hello
expect "a key before its withdrawal" "status=200 outcome=Ran" call entry-3 "$leaked" -model model-4 hello
withdraw_key "$leaked"
sleep 2
expect "a withdrawn key" "status=401 outcome=NotRun code=KeyWithdrawn" call entry-3 "$leaked" -model model-4 hello

bin/galenastair status -operators "$(operators entry-1 entry-2 entry-3)"
finish demo
