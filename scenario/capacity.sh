#!/usr/bin/env bash
# Measures fleets of several sizes, one after the other, each differing from the
# first in one thing alone, and prints the slopes.
set -u
cd "$(dirname "$0")/.."
mkdir -p out
rows=out/capacity.jsonl
rm -f "$rows"

row() { # ENTRIES ENGINES ORGANISATIONS CHANGES
	local dir=out/capacity-fleet fleet
	rm -rf "$dir"
	ENTRIES=$1 ENGINES=$2 SERVICES=1 bash scenario/fleet.sh "$dir" &
	fleet=$!
	for _ in $(seq 200); do
		[ -e "$dir/fleet.json" ] && break
		sleep 0.1
	done
	bin/galenastair-standin capacity -fleet "$dir" -rows "$rows" -organisations "$3" -changes-per-day "$4" || echo "row $* failed"
	touch "$dir/stop"
	wait $fleet
}

row 6 6 10 0
row 3 6 10 0
row 9 6 10 0
row 18 6 10 0
row 30 6 10 0
row 6 12 10 0
row 6 30 10 0
row 6 6 200 0
row 6 6 500 0
row 6 6 10 20000
bin/galenastair-standin capacity -rows "$rows"
