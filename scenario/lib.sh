# Functions shared by the scenarios: start processes on the loopback interface, send calls,
# count results. All processes started here are ended here, by process ID.

BASE_PORT=${GALENASTAIR_PORT:-21700}
work=$(mktemp -d)
passed=0
failed=0
pids=()
next_port=$BASE_PORT
declare -A caller_port operator_port peer_port pid_of

port() {
	next_port=$((next_port + 1))
	allotted=$next_port
}

start() { # NAME COMMAND...
	local name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.log" &
	pid_of[$name]=$!
	pids+=($!)
}

cleanup() {
	local p
	for p in "${pids[@]}"; do
		kill -9 "$p" 2>/dev/null
	done
	wait 2>/dev/null
	# Print the relevant log lines: a failed check may not fail again when it is repeated.
	if [ "$failed" -gt 0 ]; then
		grep -hE 'event=(refused|need|duty|holder|order)|broken off|dependency' "$work"/*.out 2>/dev/null | tail -n 60
	fi
	rm -rf "$work"
}
trap cleanup EXIT

wait_port() { # PORT NAME
	local i
	for i in $(seq 100); do
		(exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null && return 0
		sleep 0.05
	done
	echo "no connection to port $1 within 5 s; another process may be using it. Last log lines of $2:"
	tail -n 5 "$work/$2.log"
	exit 1
}

start_platform() {
	port
	platform=127.0.0.1:$allotted
	start platform bin/galenastair-standin platform -listen "$platform" "$@"
	wait_port "$allotted" platform
}

start_engine() { # NAME ZONE [FLAGS...]
	local name=$1 zone=$2
	shift 2
	port
	start "$name" bin/galenastair-standin engine -id "$name" -zone "$zone" -listen "127.0.0.1:$allotted" -platform "$platform" "$@"
	wait_port "$allotted" "$name"
}

start_service() { # NAME ZONE SERVICE
	port
	start "$1" bin/galenastair-standin service -id "$1" -zone "$2" -name "$3" -listen "127.0.0.1:$allotted" -platform "$platform"
	wait_port "$allotted" "$1"
}

start_entry() { # NAME ZONE
	local name=$1
	port; caller_port[$name]=$allotted
	port; operator_port[$name]=$allotted
	port; peer_port[$name]=$allotted
	cat >"$work/$name.ini" <<-INI
		[Instance]
		ID = $name
		AvailabilityZone = $2
		CallerAddress = 127.0.0.1:${caller_port[$name]}
		OperatorAddress = 127.0.0.1:${operator_port[$name]}
		PeerAddress = 127.0.0.1:${peer_port[$name]}
		[Platform]
		LogAddress = $platform
		InstanceListAddress = $platform
		WeightStoreAddress = $platform
		[WeightStore]
		LoadsPerSecond = ${LOADS_PER_SECOND:-10}
		[Stop]
		Notice = 500ms
		Timeout = 20s
	INI
	bin/galenastair check "$work/$name.ini" >/dev/null || exit 1
	start "$name" bin/galenastair entry -settings "$work/$name.ini"
	wait_port "${operator_port[$name]}" "$name"
}

operators() {
	local list="" name
	for name in "$@"; do
		list+=",127.0.0.1:${operator_port[$name]}"
	done
	echo "${list#,}"
}

publish() { # ORGANISATION RATE BURST MODELS SERVICES
	{
		echo "[Contract]"
		echo "Organisation = $1"
		echo "RateTokensPerSecond = $2"
		echo "BurstTokens = $3"
		echo "Models = $4"
		[ -z "$5" ] || echo "Services = $5"
	} >"$work/$1.contract"
	bin/galenastair contract publish -log "$platform" "$work/$1.contract" || exit 1
}

give_key() { # ORGANISATION; prints the key
	bin/galenastair key give -log "$platform" "$1" | sed -n 's/^key=//p'
}

withdraw_key() { # KEY
	local hash
	hash=$(printf '%s' "$1" | bin/galenastair key hash) || return 1
	bin/galenastair key withdraw -log "$platform" "$hash" >/dev/null
}

wait_ready() {
	local name i
	for name in "$@"; do
		for i in $(seq 200); do
			bin/galenastair status -json -operators "$(operators "$name")" 2>/dev/null | grep -q '"Ready":true' && continue 2
			sleep 0.1
		done
		echo "timed out waiting for $name to become ready. Last log lines:"
		tail -n 5 "$work/$name.log"
		exit 1
	done
}

call() { # ENTRY KEY FLAGS... TEXT
	local entry=127.0.0.1:${caller_port[$1]} key=$2
	shift 2
	GALENASTAIR_KEY=$key bin/galenastair call -entry "$entry" "$@"
}

wait_model() { # ENTRY KEY MODEL
	local i
	for i in $(seq 150); do
		call "$1" "$2" -model "$3" -max-tokens 1 ready | grep -q "status=200" && return 0
		sleep 0.2
	done
	echo "timed out waiting for $3 to respond through $1. Last log lines:"
	tail -n 5 "$work/$1.log"
	exit 1
}

expect() { # WHAT WANTED COMMAND...
	local what=$1 wanted=$2 got
	shift 2
	got=$("$@" 2>&1)
	if [[ $got == "$wanted"* ]]; then
		passed=$((passed + 1))
		echo "ok    $what: ${got%% request=*}"
	else
		failed=$((failed + 1))
		echo "FAIL  $what: wanted '$wanted', got '$got'"
	fi
}

stop() { # NAME...; sends SIGTERM and checks that the exit status is 0
	local name status
	for name in "$@"; do
		kill -TERM "${pid_of[$name]}" 2>/dev/null
	done
	for name in "$@"; do
		wait "${pid_of[$name]}"
		status=$?
		if [ $status -ne 0 ]; then
			failed=$((failed + 1))
			echo "FAIL  $name exited with status $status"
			tail -n 5 "$work/$name.log"
		fi
	done
}

finish() { # SCENARIO
	local name entries=() others=()
	for name in "${!pid_of[@]}"; do
		case $name in
		entry-*) entries+=("$name") ;;
		*) others+=("$name") ;;
		esac
	done
	stop "${entries[@]}"
	stop "${others[@]}"
	for name in "${!pid_of[@]}"; do
		if kill -0 "${pid_of[$name]}" 2>/dev/null; then
			failed=$((failed + 1))
			echo "FAIL  $name is still running"
		fi
	done
	echo "$1: $passed passed, $failed failed"
	[ $failed -eq 0 ]
}
