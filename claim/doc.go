// Package claim ensures that all instances together send a request that must not be
// repeated at most once, and that a request which crashes backend servers is not
// tried on all of them.
//
// A request with an idempotency key is sent only after its attempt is stored on two
// instances in different availability zones: the sender and the owner of the key,
// which decides whether the request may be sent. If both are in the same zone, a third
// instance stores a copy. If all members are in one zone, two instances of that zone
// are enough; an instance that is the only member refuses the request. A request
// refused before it is sent has the outcome NotRun.
//
// A key is not granted twice while its ownership moves, because the sender records its
// attempt before it looks up the owner; a new owner grants nothing until every member
// of its epoch has reported the attempts that it stores; and a member reports only in
// the same epoch. An attempt made at the previous owner is therefore part of a report,
// and a later one is made at the new owner. An owner accepts attempts only from members
// of its epoch, since these are the members that the next owner asks. After each change
// of epoch, owners replace the copies that were lost with a member.
//
// An attempt whose outcome is Ran or Unknown is kept for Lifetime (an hour), during
// which further requests with the key are refused with that outcome. NotRun releases
// the key; the attempt is kept for another minute so that late messages about it are
// recognised. When a sender dies, its open attempts count as Unknown.
//
// Size: an attempt takes 343 bytes (BenchmarkAttemptSize) at its sender, at the owner,
// and, for keys whose owner is in the sender's zone, at a third instance. A claim costs
// one message of 136 bytes before headers and its reply, and one more message for its
// outcome, which are sent in batches every quarter of a second. If one request in twenty
// has an idempotency key at the target load of a region (136 such requests a second,
// 490,000 an hour), each of 53 nodes in 14 zones, with 2 zones to a region, stores
// 23,000 attempts: 8 MB. On each change of epoch, every owner asks every member once:
// 52 calls a node, which return the attempts on its own keys from their senders and
// copies (about 2.5 MB at that load). If epochs changed more often than the target's
// hundred times a day, this exchange would be the cost to reduce, not the claims.
//
// The alternative is to record claims in the platform's log. Two appends a claim
// would take 272 appends a second from a log that can do several hundred in total, add
// the log's latency to each bid, and refuse every claim while the log is unavailable,
// which users report can last long. Using the log only as a backup for two simultaneous
// failures would cost the same, since it has to be written before every request is sent.
//
// Not covered: if the sender and the owner (and the third instance, if there is one)
// die before the members that remain have applied the next epoch, a repeated request
// is taken for the first one. Nor is a sender that is paused after Begin for longer than
// Lifetime plus its lease, and then sends the request without checking its lease.
//
// Tests fail when any one of the following is done (150 histories each, or the test
// in keeper_test.go): a new owner asks no member; it asks once for all epochs; it
// accepts reports from some members only; a member reports in any epoch; the attempt is
// recorded after the owner's reply; an owner grants without serving the key; it accepts
// attempts from instances that are not members; no copy is stored in a second zone; lost
// copies are not replaced; a copy that was sent but not confirmed counts as stored, or
// one in a process that has been restarted since; a restarted process counts as the
// sender; an attempt that is Open or Unknown, or whose sender died, does not hold its
// key; a late Open replaces an outcome; NotRun leaves no tombstone; digests are not
// compared; outcomes are sent to the owner only, or to no instance; crashes of backend
// servers announced by other instances are ignored.
package claim
