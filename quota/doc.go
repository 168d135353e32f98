// Package quota holds organisations to their rate and burst over all instances.
//
// One instance, the lender, keeps a token bucket for each organisation; the others
// borrow what a request lacks, and busy ones ahead of need. A loan is void after a
// second or so and what is left of it goes back. An instance that hears nothing from
// the lender spends a part of its own, which the lender leaves out of its lending
// while it misses that instance; so the sum stays within the contract and its slack,
// whatever is lost, cut off or restarted (4 of 6,000 played floods, in which instances
// are cut off again and again, get up to 4 % more). Buckets start empty, the lender's
// with a part of the slack.
//
// Units are those of the contract, tokens or requests. Messages: one call of some 150
// bytes for a request of a quiet organisation, none for those of a busy one, whose
// asks travel with the instances' exchange.
package quota
