// Package history checks recorded calls of claims: no idempotency key may be granted to a
// second request if the first one may have run.
package history
