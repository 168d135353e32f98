#!/usr/bin/env bash
# The whole path on the users' platform's protocol as separate processes: its store, 2
# engines, 2 plain replicas and 3 gateways. Each kind of request is served; then three
# failures are caused, and 'galenastair explain' must name the cause of each from the
# request's id and the logs. Needs curl. Leaves no process behind.
set -u
cd "$(dirname "$0")/.."
. scenario/lib.sh

KEY=key-of-org
declare -A ready_port metrics_port replica_port

start_store() {
	port
	store=127.0.0.1:$allotted
	start store bin/galenastair-standin store -listen "$store"
	wait_port "$allotted" store
}

start_replica() { # ID SERVICE FLAGS...
	local id=$1 service=$2
	shift 2
	port
	replica_port[$id]=$allotted
	start "$id" bin/galenastair-standin replica -id "$id" -service "$service" -zone zone-a -listen "127.0.0.1:$allotted" -store "$store" "$@"
	wait_port "$allotted" "$id"
}

start_gateway() { # NAME
	local name=$1
	port; caller_port[$name]=$allotted
	port; ready_port[$name]=$allotted
	port; peer_port[$name]=$allotted
	port; metrics_port[$name]=$allotted
	sed -e "s/{{node-name}}/$name/; s/{{region}}/region-1/; s/{{zone}}/zone-a/; s/{{listen.front}}/127.0.0.1:${caller_port[$name]}/" \
		-e "s/{{listen.ready}}/127.0.0.1:${ready_port[$name]}/; s/{{ip}}:{{internal-ports.0}}/127.0.0.1:${peer_port[$name]}/" \
		-e "s/{{ip}}:7601/127.0.0.1:${metrics_port[$name]}/; s/{{provider.address}}/$store/; s/{{limits.memory-mb}}/284/" \
		-e "s/{{bounds.revoke-ms}}/5000/; s/{{bounds.grace-s}}/8/; s/{{bounds.lease-ms}}/1000/; s/{{bounds.drain-ms}}/2000/" \
		-e "s/{{bounds.budget-ratio}}/0.2/; s/{{bounds.budget-slack}}/52/; s/{{bounds.quota-window-s}}/8/" \
		-e "s/{{bounds.quota-over}}/0.1/; s/{{bounds.quota-slack}}/17000/; s/{{bounds.fencing-required}}/true/" \
		deploy/gateway.ini >"$work/$name.ini"
	bin/galenastair check "$work/$name.ini" >/dev/null || exit 1
	start "$name" bin/galenastair gateway -settings "$work/$name.ini"
	wait_port "${ready_port[$name]}" "$name"
}

configure() { # RATE
	version=$((version + 1))
	curl -sf -X POST --data-binary @- "http://$store/put?topic=keyed.op&key=config" <<-JSON || exit 1
		{"version": $version,
		 "routes": [
		  {"name": "drafts", "host": "a.example", "path-prefix": "/drafts/", "route-type": "stream", "timeout-ms": 3000, "target-latency-ms": 500, "service": "writer", "attempts": 1, "resumable": false},
		  {"name": "reads", "host": "a.example", "path-prefix": "/reads/", "route-type": "safe", "timeout-ms": 2000, "target-latency-ms": 100, "service": "app", "attempts": 2},
		  {"name": "bids", "host": "a.example", "path-prefix": "/bids/", "route-type": "unsafe", "timeout-ms": 2000, "target-latency-ms": 100, "service": "app", "attempts": 2}],
		 "services": [
		  {"name": "writer", "max-conns": 100, "engine": {"slots": 8, "kv-tokens": 100000, "weights-mb": 230000, "adapter-slots": 2, "loads-per-s": 5,
		   "models": [{"name": "m1", "weights-mb": 70000, "load-s": 0.2, "adapters": 2, "adapter-mb": 60}, {"name": "m2", "weights-mb": 70000, "load-s": 0.2}]}},
		  {"name": "app", "max-conns": 100}],
		 "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576},
		 "tenants": [{"name": "Himalbyte", "api-keys": ["$KEY"], "unit": "tokens", "plain-tokens": 10, "rate-per-s": $1, "burst": $1}]}
	JSON
}

ask() { # GATEWAY ID PATH [CURL FLAGS...]; prints the status
	local gateway=$1 id=$2 path=$3
	shift 3
	curl -s -o "$work/$id.body" -w 'status=%{http_code}' -X POST -d "body of $id" -H "Host: a.example" -H "Galenastair-Attempt-Id: $id" \
		-H "Galenastair-Deadline-Ms: 2000" -H "Authorization: Bearer $KEY" "$@" "http://127.0.0.1:${caller_port[$gateway]}$path"
}

wait_for() { # STATUS COMMAND...
	local wanted=$1 i
	shift
	for i in $(seq 100); do
		[[ $("$@") == "status=$wanted" ]] && return 0
		sleep 0.1
	done
	echo "no status $wanted from: $*"
	tail -n 5 "$work"/gateway-1.out
	exit 1
}

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
[ -z "${KEEP_STORIES:-}" ] || cp "$work"/trail-*.story "$KEEP_STORIES"

stop gateway-1 gateway-2 gateway-3
unset 'pid_of[gateway-1]' 'pid_of[gateway-2]' 'pid_of[gateway-3]'
finish gateway
