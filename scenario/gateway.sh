#!/usr/bin/env bash
# End-to-end test of the protocol of the users' platform with separate processes: a fake
# store, 2 engines, 2 plain replicas and 3 gateways. Sends each kind of request, then
# causes three failures; 'galenastair explain' must report the cause of each from the
# request ID and the logs. Requires curl. Ends all processes that it starts.
set -u
cd "$(dirname "$0")/.."
. scenario/lib.sh
. scenario/gateways.sh

KEY=key-of-org

explained() { # ID
	bin/galenastair explain -id "$1" "$work"/gateway-*.out | tee "$work/$1.story" | grep '^cause:' | cut -c9- | sed 's/^ *//'
}

switch() { # REPLICA NAME ON
	curl -sf -X POST "http://127.0.0.1:${replica_port[$1]}/switch?name=$2&on=$3" >/dev/null
}

version=0
start_store
start_replica engine-1 writer -places 3 -models m1
start_replica engine-2 writer -places 3 -models m1
start_replica app-1 app
start_replica app-2 app
configure 1000000
start_gateway gateway-1
start_gateway gateway-2
start_gateway gateway-3
for n in 1 2 3; do
	wait_for 200 ask gateway-$n warm-$n-$RANDOM /reads/1
done

for n in 1 2 3; do
	expect "a read through gateway-$n" "status=200" ask gateway-$n read-$n /reads/1
	expect "a bid through gateway-$n" "status=200" ask gateway-$n bid-$n /bids/1
	expect "a stream through gateway-$n" "status=200" ask gateway-$n stream-$n /drafts/1 -H "Galenastair-Model: m1" -H "Galenastair-Token-Usage: 100,20"
	expect "its last event" "id: 6" grep '^id: 6' "$work/stream-$n.body"
done
wait_for 200 ask gateway-2 "adapter-$RANDOM" /drafts/1 -H "Galenastair-Model: m1/a2" -H "Galenastair-Token-Usage: 100,20"
expect "an adapter that was fetched" "status=200" ask gateway-1 adapter-1 /drafts/1 -H "Galenastair-Model: m1/a2" -H "Galenastair-Token-Usage: 100,20"
wait_for 200 ask gateway-3 "model-$RANDOM" /drafts/1 -H "Galenastair-Model: m2" -H "Galenastair-Token-Usage: 100,20"
expect "a model that was loaded" "status=200" ask gateway-1 model-1 /drafts/1 -H "Galenastair-Model: m2" -H "Galenastair-Token-Usage: 100,20"
right=$KEY
KEY=no-such-key
expect "a wrong key" "status=401" ask gateway-1 wrong-1 /reads/1
KEY=$right

switch app-1 die true
switch app-2 die true
expect "a bid whose replica dies" "status=502" ask gateway-1 trail-bid /bids/1
expect "its cause" "refused, status 502, code AnswerCut" explained trail-bid
switch app-1 die false
switch app-2 die false

switch engine-1 cut true
switch engine-2 cut true
ask gateway-2 trail-stream /drafts/1 -H "Galenastair-Model: m1" -H "Galenastair-Token-Usage: 100,20" >/dev/null
expect "the cause of a broken stream" "broken off, status 200, code AnswerCut" explained trail-stream
switch engine-1 cut false
switch engine-2 cut false

configure 100
sleep 1
for n in $(seq 40); do
	ask gateway-3 "flood-$n" /drafts/1 -H "Galenastair-Model: m1" -H "Galenastair-Token-Usage: 2000,20" >/dev/null
done
expect "a request over the quota" "status=429" ask gateway-3 trail-quota /drafts/1 -H "Galenastair-Model: m1" -H "Galenastair-Token-Usage: 2000,20"
expect "its cause" "refused, status 429, code RateExceeded" explained trail-quota
expect "the metrics count it" "galenastair_requests_total" sh -c "curl -sf http://127.0.0.1:${metrics_port[gateway-3]}/metrics | grep '^galenastair_requests_total.*code=\"RateExceeded\"'"
expect "the metrics name the organisation" "galenastair_organisation_requests_total" sh -c "curl -sf http://127.0.0.1:${metrics_port[gateway-3]}/metrics | grep 'organisation=\"'"
all=127.0.0.1:${metrics_port[gateway-1]},127.0.0.1:${metrics_port[gateway-2]},127.0.0.1:${metrics_port[gateway-3]}
expect "the status shows who plans" "itself" sh -c "bin/galenastair status -metrics $all | grep -o itself"
expect "and what engines hold" "m1 " sh -c "bin/galenastair status -metrics $all | grep -o 'm1 .*'"

# The metrics must count the same responses per status as the callers received, and time
# as many.
for n in 1 2 3; do
	for status in 200 429 502; do
		seen=$(grep -c "^status=$status$" "$work/seen-gateway-$n")
		counted=$(curl -sf "http://127.0.0.1:${metrics_port[gateway-$n]}/metrics" |
			awk -v s="status=\"$status\"" '/^galenastair_requests_total/ && index($0, s) { sum += $NF } END { print sum + 0 }')
		expect "gateway-$n counted its $status answers as callers saw them" "=$seen=" echo "=$counted="
	done
	seen=$(grep -c '^status=' "$work/seen-gateway-$n")
	timed=$(curl -sf "http://127.0.0.1:${metrics_port[gateway-$n]}/metrics" |
		awk '/^galenastair_total_seconds_count/ { sum += $NF } END { print sum + 0 }')
	expect "gateway-$n timed all that callers saw" "=$seen=" echo "=$timed="
done
expect "each request that was not served has a line that says why" "unexplained       0" sh -c "bin/galenastair explain -all $work/gateway-*.out | grep '^unexplained'"
[ -z "${KEEP_STORIES:-}" ] || cp "$work"/trail-*.story "$KEEP_STORIES"

stop gateway-1 gateway-2 gateway-3
unset 'pid_of[gateway-1]' 'pid_of[gateway-2]' 'pid_of[gateway-3]'
finish gateway
