// Package overload has an instance that lacks processor time close new connections before it reads
// their requests, so that clients try another instance at once.
//
// It answers a load balancer that hands most new connections of an availability zone or region to one
// instance for some seconds. That instance can serve only a fraction of them. If it read all requests,
// each would wait for processor time, and soon none would be answered in time.
//
// The measure is the time from the acceptance of a connection until its goroutine runs: it is spent
// waiting for the processor alone, whatever the client does. Kept connections are left alone.
package overload
