// Package pool chooses the backend server for each request: one that holds the model and adapter
// and is likely to answer first. A server in the caller's availability zone is preferred if it
// answers later than another by no more than a fraction of the target latency.
//
// A Pool opens no connections and starts no goroutines; a mutex guards it during each call. The
// work per choice grows with the number of copies of the requested model, not with the fleet.
// Memory: about 1 KB per backend server, and 40 bytes for each remembered prompt part, of which
// there are at most 256 per server.
package pool
