// Package timer waits for times that a context can cut short. It costs one timer
// of some 200 bytes for each wait under way, and sends nothing.
package timer
