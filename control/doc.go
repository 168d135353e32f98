// Package control runs the one goroutine that owns an instance's control state:
// the folds of the log, membership, placement. Traffic reads what it publishes.
package control
