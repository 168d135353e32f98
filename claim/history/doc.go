// Package history checks what callers saw of claims: that no idempotency key was
// given to two requests of which one may have run.
package history
