// Package node assembles one instance on the users' platform: what follows the store,
// the gateway that carries requests, the planner that acts while the lease is this
// instance's, and the ports. It stops in order: unready first, then no new connections,
// then the end of what is under way.
package node
