// Package pool chooses the backend server of a request: one that holds its model and
// adapter, will probably answer soonest, and is in the caller's availability zone
// where that costs no time that anybody would miss.
//
// It opens no socket and starts no goroutine; a lock guards it for single decisions.
// Work per decision grows with the copies of the one model, not with the fleet.
// Memory: about 1 KB a backend server and 40 bytes for each remembered prompt part,
// 256 at most a server.
package pool
