// Package load generates open-loop load on entries or engines and measures the
// results. Requests arrive according to a seeded schedule, whether or not earlier
// ones have been answered, and latencies are measured from the scheduled arrival, so
// that a slow system cannot hide its latency by slowing down its callers.
//
// A run is bounded in requests, in time and in requests in flight. An arrival that
// would exceed the number of requests in flight is not sent and counts as Dropped.
//
// Bench compares the same load sent directly to an engine and through an entry.
//
// Memory: a request in flight takes about 20 KB in the load generator; each
// organisation has three histograms of 40 KB.
package load
