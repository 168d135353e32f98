# Functions that start a fake of the users' platform and gateways on it. Source this file
# after lib.sh. The sourcing script sets KEY, and sets version to 0.

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
	sed -e "s/{{#zones}}.*{{\/zones}}/zone-a:region-1/; s/{{[#\/]bounds.evacuate-ms}}//; s/{{bounds.evacuate-ms}}/5000/; s/{{bootstrap}}/true/" \
		-e "s/{{node-name}}/$name/; s/{{region}}/region-1/; s/{{zone}}/zone-a/; s/{{listen.front}}/127.0.0.1:${caller_port[$name]}/" \
		-e "s/{{listen.ready}}/127.0.0.1:${ready_port[$name]}/; s/{{ip}}:{{internal-ports.0}}/127.0.0.1:${peer_port[$name]}/" \
		-e "s/{{ip}}:7601/127.0.0.1:${metrics_port[$name]}/; s/{{provider.address}}/$store/; s/{{limits.memory-mb}}/284/; s/{{limits.link-mbps}}/1000/" \
		-e "s/{{bounds.revoke-ms}}/5000/; s/{{bounds.grace-s}}/8/; s/{{bounds.lease-ms}}/1000/; s/{{bounds.drain-ms}}/2000/; s/{{bounds.config-apply-ms}}/2000/" \
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

ask() { # GATEWAY ID PATH [CURL FLAGS...]; sends a request and prints its status
	local gateway=$1 id=$2 path=$3
	shift 3
	curl -s -o "$work/$id.body" -w 'status=%{http_code}' -X POST -d "body of $id" -H "Host: a.example" -H "Galenastair-Attempt-Id: $id" \
		-H "Galenastair-Deadline-Ms: 2000" -H "Authorization: Bearer $KEY" "$@" "http://127.0.0.1:${caller_port[$gateway]}$path" | tee "$work/seen"
	{ cat "$work/seen"; echo; } >>"$work/seen-$gateway"
}

wait_for() { # STATUS COMMAND...
	local wanted=$1 i
	shift
	for i in $(seq 100); do
		[[ $("$@") == "status=$wanted" ]] && return 0
		sleep 0.1
	done
	echo "timed out waiting for status $wanted from: $*"
	tail -n 5 "$work"/gateway-1.out
	exit 1
}
