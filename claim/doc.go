// Package claim sees to it that a request that may not be repeated is sent at most
// once by all instances together, and that a request which stops backend servers
// is not tried on all of them.
//
// A request with an idempotency key is sent only while its attempt is kept at two
// instances in different availability zones: the sender, and the key's home, which
// decides; if both are in one zone, also at a third. A domain of a single zone
// keeps it at two instances of that zone, and one of a single instance refuses.
// Every refusal before sending is NotRun.
//
// Why a key is not given twice while its home moves: the sender records its
// attempt before it looks up the home; a new home gives nothing until every member
// of its epoch has told what it keeps; and a member tells only in that epoch. So an
// attempt made at the former home stands in an answer, and a later one is made at
// the new home. A home takes attempts only from members of its epoch, since it is
// these that the next home will ask. After each epoch, homes restore the copies
// that were lost with a member.
//
// What stands how long: an attempt that ran, or of which nobody knows, for
// Lifetime (an hour), in which the key is refused with that outcome. NotRun frees
// the key; the attempt is remembered for a minute against late messages. When a
// sender dies, its attempts count as Unknown.
//
// Size: 343 bytes an attempt (BenchmarkKeep), at its sender, its home, and for
// keys whose home is in the sender's zone at a third. A claim costs one message of
// 136 bytes before headers and its answer, its outcome one more, batched each
// quarter of a second. A region of the target with one request in twenty so marked
// (136 a second, 490,000 an hour) keeps 23,000 attempts on each of 53 nodes in 14
// zones of 2 to a region: 8 MB. Each change of epoch makes every home ask every
// member once: 52 calls a node, and its own keys' attempts from their senders and
// copies (about 2.5 MB at that load); that, not claiming, is what would have to
// shrink if epochs changed more often than the hundred times a day of the target.
//
// Weighed against claims in the platform's log: two appends a claim would take 272
// appends a second from a log that has several hundred for everything, add the
// log's delay to each bid, and refuse every claim while the log is down, which the
// users say happens for long periods. As a backstop for two deaths at once the log
// would have to be written before every sending, at the same cost.
//
// Not covered: the sender and the home (and the third, where there is one) die
// within the time until the next epoch has been taken in; a repetition of the key
// is then taken for the first. And a sender that is paused after Begin for longer
// than Lifetime plus its lease and then sends without having looked at its lease.
//
// Rules that tests were seen to catch when switched off one by one (150 histories
// each, or the story named in keeper_test.go): a new home asks nobody; asks once
// for all epochs; is content with some answers; a member answers in any epoch; the
// attempt is recorded after the home's answer; a home answers without serving; it
// takes attempts from strangers; no copy in a second zone; lost copies are not
// restored; a copy that was noted counts as kept, or one of a process that has been
// started again; such a process counts as the sender; an Open attempt, an Unknown one,
// or one of a dead sender does not hold its key; a late Open replaces an outcome;
// no tombstone of NotRun; digests are not compared; outcomes reach the home alone
// or nobody; stops of backend servers are not heard of.
package claim
