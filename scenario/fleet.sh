#!/usr/bin/env bash
# fleet.sh DIR: runs a fleet of separate processes for proofs. Restarts each process that
# exits, as the platform would, until DIR/stop exists; then kills all processes that it
# started, by process ID. Writes DIR/fleet.json and DIR/NAME.pid. The processes talk
# through relays, which the driver of the proof runs.
set -u
cd "$(dirname "$0")/.."
dir=$1
entries=${ENTRIES:-6}
engines=${ENGINES:-4}
services=${SERVICES:-2}
base=${GALENASTAIR_PORT:-22700}
zones=(zone-a zone-b zone-c)
restart_after=0.5

platform=127.0.0.1:$base
mkdir -p "$dir"
rm -f "$dir/stop"

# keep NAME COMMAND...: runs the command and restarts it whenever it exits
keep() {
	local name=$1 child
	shift
	while [ ! -e "$dir/stop" ]; do
		"$@" >>"$dir/$name.out" 2>>"$dir/$name.log" &
		child=$!
		echo $child >"$dir/$name.pid.new" && mv "$dir/$name.pid.new" "$dir/$name.pid"
		wait $child 2>/dev/null
		echo "ended $(date +%T.%N) status $?" >>"$dir/$name.ends"
		sleep $restart_after
	done
}

zone() { echo "${zones[$(($1 % ${#zones[@]}))]}"; }

backend() { # KIND NUMBER LISTEN ADVERTISED FLAGS...
	local kind=$1 n=$2 listen=$3 advertised=$4
	shift 4
	keep "$kind-$n" bin/galenastair-standin "$kind" -id "$kind-$n" -zone "$(zone "$n")" -listen "$listen" \
		-advertise "$advertised" -platform "$platform" -journal "$dir/$kind-$n.journal" "$@" &
	keepers+=($!)
}

describe_backend() { # KIND NUMBER LISTEN ADVERTISED SERVICE
	printf '{"Name":"%s-%d","Zone":"%s","Listen":"%s","Address":"%s","Service":"%s"}' "$1" "$2" "$(zone "$2")" "$3" "$4" "$5"
}

entry_settings() { # NUMBER CALLER OPERATOR PEERLISTEN PEER LOG
	cat <<-INI
		[Instance]
		ID = entry-$1
		AvailabilityZone = $(zone "$1")
		CallerAddress = $2
		OperatorAddress = $3
		PeerListenAddress = $4
		PeerAddress = $5
		${HISTORY:+History = $dir/entry-$1.grants}
		[Platform]
		LogAddress = $6
		InstanceListAddress = $6
		WeightStoreAddress = $platform
		ListPeriod = 500ms
		Retention = ${RETENTION:-1h}
		[Engines]
		CheckFence = engine-1, engine-2
		ProgressTimeout = 3s
		[WeightStore]
		LoadsPerSecond = 5
		[Stop]
		Notice = 1s
		Timeout = 30s
	INI
}

keepers=()
keep platform bin/galenastair-standin platform -listen "$platform" -models 6 -adapters 4 -model-load 300ms ${PLATFORM_FLAGS:-} &
keepers+=($!)

port=$base
address() {
	port=$((port + 1))
	allotted=127.0.0.1:$port
}

json_entries=()
json_engines=()
json_services=()
for n in $(seq "$engines"); do
	address; listen=$allotted
	address; advertised=$allotted
	fence=
	[ "$n" -gt 2 ] || fence=-checks-fence
	backend engine "$n" "$listen" "$advertised" -poison swordfish -step 2ms ${ENGINE_FLAGS:-} $fence
	json_engines+=("$(describe_backend engine "$n" "$listen" "$advertised" "")")
done
for n in $(seq "$services"); do
	address; listen=$allotted
	address; advertised=$allotted
	backend service "$n" "$listen" "$advertised" -name bids -delay 5ms
	json_services+=("$(describe_backend service "$n" "$listen" "$advertised" bids)")
done
for n in $(seq "$entries"); do
	address; caller=$allotted
	address; operator=$allotted
	address; peer_listen=$allotted
	address; peer=$allotted
	address; log=$allotted
	entry_settings "$n" "$caller" "$operator" "$peer_listen" "$peer" "$log" >"$dir/entry-$n.ini"
	bin/galenastair check "$dir/entry-$n.ini" >/dev/null || exit 1
	keep "entry-$n" bin/galenastair entry -settings "$dir/entry-$n.ini" &
	keepers+=($!)
	json_entries+=("{\"Name\":\"entry-$n\",\"Zone\":\"$(zone "$n")\",\"Caller\":\"$caller\",\"Operator\":\"$operator\",\"PeerListen\":\"$peer_listen\",\"Peer\":\"$peer\",\"Log\":\"$log\"}")
done

join() {
	local IFS=,
	echo "$*"
}
cat >"$dir/fleet.json.new" <<-JSON
	{"Platform":"$platform","Entries":[$(join "${json_entries[@]}")],"Engines":[$(join "${json_engines[@]}")],"Services":[$(join "${json_services[@]}")]}
JSON
mv "$dir/fleet.json.new" "$dir/fleet.json"

while [ ! -e "$dir/stop" ]; do sleep 0.2; done
for round in 1 2; do
	for pid in "$dir"/*.pid; do
		kill -CONT "$(cat "$pid")" 2>/dev/null
		kill -KILL "$(cat "$pid")" 2>/dev/null
	done
	sleep $restart_after
done
wait "${keepers[@]}" 2>/dev/null
exit 0
