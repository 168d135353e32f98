#!/usr/bin/env bash
# Measures what a gateway holds for slow callers and slow backend servers: 800 callers that read
# answers of 1 MB at 2 KB/s, 400 that send 1 MB to a server that reads it 5 s late, and 1,000 slow
# streams, beside ordinary load. Takes about a minute.
# KEEP_LOGS names a directory to which the log of the gateway is copied.
# usage: scenario/slow.sh [HELD_MEMORY [MEMORY_MB [FLAGS OF galenastair-standin slow...]]]
set -u
cd "$(dirname "$0")/.."
GALENASTAIR_PORT=${GALENASTAIR_PORT:-24100}
. scenario/lib.sh
. scenario/gateways.sh

KEY=key-of-org
version=0
held=${1:-0}
limit=${2:-144}
shift $(($# < 2 ? $# : 2))

start_store
curl -sf -X POST --data-binary @- "http://$store/put?topic=keyed.op&key=config" <<-JSON || exit 1
	{"version": 1,
	 "routes": [
	  {"name": "drafts", "host": "a.example", "path-prefix": "/drafts/", "route-type": "stream", "timeout-ms": 60000, "target-latency-ms": 500, "service": "app", "attempts": 1, "resumable": true},
	  {"name": "reads", "host": "a.example", "path-prefix": "/reads/", "route-type": "safe", "timeout-ms": 60000, "target-latency-ms": 100, "service": "app", "attempts": 1},
	  {"name": "bids", "host": "a.example", "path-prefix": "/bids/", "route-type": "unsafe", "timeout-ms": 60000, "target-latency-ms": 100, "service": "app", "attempts": 1}],
	 "services": [{"name": "app", "max-conns": 100000}],
	 "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576},
	 "tenants": [{"name": "org", "api-keys": ["$KEY"], "unit": "tokens", "plain-tokens": 1, "rate-per-s": 1000000000, "burst": 1000000000}]}
JSON
render() { sed -e "s/^HeldMemory = .*/HeldMemory = $held/; s/^MemoryMB = .*/MemoryMB = $limit/" "$1"; }
start_gateway gateway-0
stop gateway-0
unset 'pid_of[gateway-0]'
render "$work/gateway-0.ini" >"$work/gateway-1.ini"
bin/galenastair check "$work/gateway-1.ini" >/dev/null || exit 1
start gateway-1 bin/galenastair gateway -settings "$work/gateway-1.ini"
wait_port "${ready_port[gateway-0]}" gateway-1
port
bin/galenastair-standin slow -listen "127.0.0.1:$allotted" -entry "127.0.0.1:${caller_port[gateway-0]}" -key "$KEY" -store "$store" -pid "${pid_of[gateway-1]}" "$@"
status=$?
[ $status -eq 0 ] || failed=$((failed + 1))
curl -sf "http://127.0.0.1:${metrics_port[gateway-0]}/metrics" | grep '^galenastair_held' || true
[ -z "${KEEP_LOGS:-}" ] || cp "$work/gateway-1.out" "$work/gateway-1.log" "$KEEP_LOGS"
stop gateway-1
unset 'pid_of[gateway-1]'
finish slow
exit $status
