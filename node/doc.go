// Package node assembles one instance for a platform that brings its own store: the followers
// of the store's topics, the gateway that forwards requests, the planner that is active while
// the instance holds the lease, and the listening ports. On shutdown the instance first reports
// that it is not ready, then accepts no new connections, then waits for the requests in progress.
package node
