// Package route chooses the backend server for a request among those with a ready copy of
// its model. It prefers a backend server that has probably cached the prompt's prefix,
// within a bound on its load. Otherwise it takes the less loaded of two random candidates,
// by this instance's own in-flight requests and by engine reports weighted by age. Backend
// servers that respond much more slowly than their peers are ejected for a time. The package
// does no I/O and starts no goroutine. A Router is not safe for concurrent use.
//
// Memory: a backend server takes about 400 bytes and each loaded model or adapter about 100.
// The index of cached prefixes is bounded at 2 * 32,768 entries of about 40 bytes, 2.6 MB,
// for any number of backend servers.
package route
