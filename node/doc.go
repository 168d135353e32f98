// Package node assembles one instance for a platform that brings its own store: the followers
// of the store's topics, the gateway that forwards requests, the planner that is active while
// the instance holds the lease, and the listening ports. On shutdown the instance first reports
// that it is not ready, then accepts no new connections, then waits for the requests in progress.
//
// Package entry assembles the instances for a platform with a log. Each of the two has packages of
// its own for the same task: node has gateway, pool, planner, lease, and quota with account; entry
// has request, route with dispatch, place.Leader, member, and rate.
package node
