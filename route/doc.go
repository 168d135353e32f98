// Package route chooses the backend server for a request among those with a
// ready copy of its model: by prompt-prefix affinity with a bound on load, else
// the better of two by own in-flight requests and aged reports, without those
// that answer much more slowly than their peers. It opens no socket and starts
// no goroutine; one goroutine at a time may use a Router.
//
// Size: a backend server takes about 400 bytes and each loaded model or adapter
// about 100; the index of cached prefixes is bounded at 2 * 32,768 entries of
// about 40 bytes, 2.6 MB, whatever the fleet.
package route
