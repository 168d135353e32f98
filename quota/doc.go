// Package quota holds organisations to their rate and burst over all instances.
//
// Half of each quota is dealt evenly to the instances, which spend their part without
// a message. The other half is lent by one instance, the lender, ahead of need: each
// instance tells its demand a few times a second and borrows for the next moment. The
// sum of all buckets never exceeds the contract, whatever is lost, cut off or
// restarted: a new bucket starts empty, and a loan that is not spent in time is void.
//
// Units are those of the contract, tokens or requests. Messages: none of its own, the
// asks travel with the instances' exchange, 20 bytes an organisation.
package quota
