// Package measure drives the decision packages over synthetic loads from a seed,
// with a plain cost model of an engine, and prints what callers would have seen
// beside baselines. It is no cluster simulator: the log, leases, lost messages, the
// network's time, KV cache memory and the limiter's own messages are left out; all
// entries see engines' reports a second late and cache events late and with gaps.
package measure
