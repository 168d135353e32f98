// Package timer provides a wait that ends early when a context is cancelled. Each wait in
// progress takes one timer of about 200 bytes.
package timer
