// Package lease elects the one instance that leads: it plans placement, lends quota and
// tells the others what it has read of the store.
//
// The lease is one key of a topic in the platform's store. It is taken and renewed by writes
// on the condition that the topic still ends where the writer knows it to end, so that of any
// number of candidates one succeeds, and one that starts never replaces a leader that renews.
// An instance may take the lease once its ttl has passed since the newest renewal that it
// knows of; the leader's replies carry the offset of that renewal, so that a takeover needs
// no waiting beyond the ttl. The offset of a term's first record is its fence.
//
// Cost: the leader writes some 100 bytes each 0.45 s. At a change of the leader each other
// instance reads the record once, within a time that grows with the fleet.
package lease
