#!/usr/bin/env bash
# Measures the overhead of a gateway on the users' platform. Sends the same read requests
# at several rates to one fake replica, directly and through one gateway, and prints the
# latencies and the gateway's CPU time per request, which includes writing its log lines.
# Ends all processes that it starts.
set -u
cd "$(dirname "$0")/.."
. scenario/lib.sh
. scenario/gateways.sh

KEY=key-of-org
version=0

cpu_ms() { # PID; prints user plus system CPU time in ms
	awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000 / hz }' "/proc/$1/stat"
}

# load_on ADDRESS RATE; prints the numbers of requests and of complete responses, and p50
# and p99 in ms
load_on() {
	bin/galenastair load -entry "$1" -host a.example -path /reads/1 -key "$KEY" -rate "$2" -even -time "${DURATION:-5s}" -json |
		sed 's/.*"All"://' | tr ',{}' '\n\n\n' | awk -F: '
			/"Requests"/ { n = $2 } /"Code":"Whole"/ { whole = 1 } whole && /"Count"/ && !w { w = $2 }
			/"Total"/ { total = 1 } total && /"P50"/ { p50 = $2 } total && /"P99"/ && !p99 { p99 = $2 }
			END { printf "%d %d %.2f %.2f\n", n, w, p50 / 1e6, p99 / 1e6 }'
}

start_store
start_replica app-1 app
configure 1000000000
start_gateway gateway-1
wait_for 200 ask gateway-1 warm-1 /reads/1
replica=127.0.0.1:${replica_port[app-1]}
gateway=127.0.0.1:${caller_port[gateway-1]}
pid=${pid_of[gateway-1]}
printf '%8s %9s %9s %9s %12s %12s %12s %14s\n' rate requests whole "p50 ms" "direct p50" "p99 ms" "direct p99" "CPU ms/request"
for rate in ${RATES:-100 500 1000}; do
	read -r _ _ direct50 direct99 < <(load_on "$replica" "$rate")
	before=$(cpu_ms "$pid")
	read -r n whole p50 p99 < <(load_on "$gateway" "$rate")
	after=$(cpu_ms "$pid")
	printf '%8s %9s %9s %9s %12s %12s %12s %14s\n' "$rate" "$n" "$whole" "$p50" "$direct50" "$p99" "$direct99" \
		"$(awk -v d="$before" -v a="$after" -v n="$n" 'BEGIN { printf "%.3f", (a - d) / n }')"
	expect "all of $rate requests a second got a whole answer" "=$n=" echo "=$whole="
done
stop gateway-1
unset 'pid_of[gateway-1]'
finish bench-gateway
