// Package control runs the single goroutine that owns an instance's control state:
// the state machines replayed from the log, membership and placement. Request
// handling reads only the snapshots that it publishes.
package control
