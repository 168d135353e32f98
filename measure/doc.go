// Package measure runs the decision packages in a discrete-event simulation with seeded
// synthetic load and a simple cost model of an engine, and prints what callers would
// have observed, next to baselines. It is not a simulator of the whole cluster: it leaves
// out the log, leases, lost messages, network latency, KV cache memory and the messages
// of the rate limiter. All entries receive the reports of engines one second late, and
// cache events two seconds late and with gaps.
package measure
