// Package logline writes log lines without blocking the caller. Lines pass through a queue to
// one goroutine, which enforces a limit on bytes per second. Lines over the limit are dropped,
// those of successful requests first. The number of dropped lines is counted and logged.
package logline
