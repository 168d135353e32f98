// Package operator serves the operators' HTTP endpoints: /healthz (liveness), /readyz
// (readiness), /metrics (Prometheus text format) and /status (a JSON object, see
// Status). They have a port of their own, so that callers cannot access them and API
// keys are never sent to them.
package operator
