// Package report spreads what engines say about themselves: each engine is read
// by one instance, its reader, which tells the others what changed.
//
// What to read, whom to tell what and when is decided by Core, which does no
// input or output; Reporter does that. An instance that hears nothing of an engine
// for a while reads it itself, seldom and few at a time, so that a dead reader or
// relay costs age and not knowledge. Two readers of one engine do no harm, so
// the duty needs no lease.
//
// Up to ten instances tell each other directly. More stand in a square: a reader
// tells its row, and each instance tells its column what it knows from its row,
// so that at 53 instances a round is 13 messages in place of 52.
//
// Size, at 53 instances and 270 engines a region, from runs of the cores over the
// sizes of the wire (TestRegionStaysWithinItsBudgetAndKnowsAll): an instance
// sends and hears 1.9 KB/s in 13 messages each way a round, a round each 7 s, and
// reads its 5 or 6 engines for 1.4 KB/s. Figures are 11.5 s old in the median and
// 29.5 s at worst; a model that came or went is known by all 8 s after. At 9
// instances and 9 engines it is 2.3 KB/s in all, 2.5 s, 4.5 s and 1 s. With three
// hung members that nobody declares, what they read and relay is read by others
// and up to 2 minutes old; a lapse, seconds later, mends it. News of one engine is
// about 22 bytes, of an unchanged one 4, and of each model loaded about 60 more in
// the rounds after its state changed; a message is about 400 bytes with headers.
// What is known of an engine takes about 1 KB here, 270 KB in all.
package report
