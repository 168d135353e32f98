package main

import "encoding/json"

const apiKey = "key-of-the-nursery"

type object = map[string]any

// route returns a route of the operator's configuration.
func route(name, kind, service string, timeoutMs, targetMs, attempts int, resumable bool) object {
	return object{"name": name, "host": clientHost, "path-prefix": "/" + name + "/", "route-type": kind, "service": service,
		"timeout-ms": timeoutMs, "target-latency-ms": targetMs, "attempts": attempts, "resumable": resumable, "gap-aim-ms": 400}
}

// configure writes a version of the configuration, as the operator does.
func configure(s *store, version int, routes []object) {
	engine := object{"slots": 8, "kv-tokens": 100000, "weights-mb": 80000, "adapter-slots": 1, "loads-per-s": 1,
		"models": []object{{"name": "m1", "weights-mb": 70000, "load-s": 2, "adapters": 0, "adapter-mb": 0}}}
	data, _ := json.Marshal(object{
		"version": version, "routes": routes,
		"services": []object{{"name": "writer", "max-conns": 360, "engine": engine}, {"name": "app", "max-conns": 96}},
		"limits":   object{"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 5000, "idle-timeout-ms": 60000},
		"tenants":  []object{{"name": "nursery", "api-keys": []string{apiKey}, "unit": "tokens", "plain-tokens": 10, "rate-per-s": 1000000, "burst": 1000000}},
	})
	s.put("keyed.op", "config", data)
}
