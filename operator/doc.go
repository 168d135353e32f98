// Package operator serves the operators' port: /healthz (the process works),
// /readyz (it takes requests), /metrics (Prometheus text form) and /status (one
// JSON object, see Status). It is kept apart from the callers' port, so that no
// key reaches it and no caller sees it.
package operator
