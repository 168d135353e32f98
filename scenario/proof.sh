#!/usr/bin/env bash
# proof.sh SEED LENGTH PACE [FLAGS...]: runs the proof once on a new fleet, and stops the
# fleet afterwards. The records stay in out/proof-SEED.
set -u
cd "$(dirname "$0")/.."
seed=${1:-1}
length=${2:-60s}
pace=${3:-2s}
[ $# -lt 3 ] || shift 3
dir=out/proof-$seed
rm -rf "$dir"
mkdir -p "$dir"

HISTORY=yes bash scenario/fleet.sh "$dir" &
fleet=$!
for _ in $(seq 100); do
	[ -e "$dir/fleet.json" ] && break
	sleep 0.1
done
bin/galenastair-standin prove -fleet "$dir" -seed "$seed" -length "$length" -pace "$pace" -history "$dir/history.json" "$@"
status=$?
touch "$dir/stop"
wait $fleet
exit $status
