// Package quota enforces each organisation's rate and burst across all instances.
//
// Each instance holds a fraction of all quotas and contributes it to one instance, the lender. The
// others borrow from the lender what a request needs, and busy instances borrow ahead of demand.
// The lender lends only what was contributed for time that has already elapsed, so each token is
// spent once even if messages are lost, instances are partitioned or restarted, or several lenders
// run at the same time. A loan expires after about a second, and its unspent rest is returned. An
// instance that gets no answer from a lender falls back to its own fraction.
//
// Amounts are in the units of the contract, tokens or requests. Cost: one call of about 150 bytes
// for each request of a quiet organisation, and none for a busy one, whose loan requests travel
// with the periodic exchange.
package quota
