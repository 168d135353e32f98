// Package quota holds organisations to their rate and burst over all instances.
//
// Each instance has a part of all quotas, and leaves it to one instance, the lender, from
// which all borrow what a request lacks, and busy ones ahead of need. What is lent comes
// from parts that were passed on for a time that has gone by, so that each token is spent
// once, whatever is lost, cut off or restarted, and however many lenders there are. A loan
// is void after a second or so and what is left of it goes back. An instance that hears
// nothing from a lender spends its own part.
//
// Units are those of the contract, tokens or requests. Messages: one call of some 150
// bytes for a request of a quiet organisation, none for those of a busy one, whose
// asks travel with the instances' exchange.
package quota
