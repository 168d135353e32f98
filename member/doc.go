// Package member knows which instances of a region belong together, which of
// them leads, and which of them serves a duty, without a coordination service:
// changes of membership are records of the platform's log, liveness is a ring
// of watchers that promise not to declare each other lapsed.
//
// # Parts
//
// State folds the records; equal records give equal states. Node is the machine
// of one instance: it is told what happened and when, and returns what to do.
// Runtime does it, on the control loop. Status is what traffic reads. A Fold of
// another package (the order ledger) sees each record with the State right after
// its offset, and has a section of its own in the leader's snapshots.
//
// # Rules
//
// The next member on the ring watches a member; it alone may declare it lapsed.
// A lease is a promise of the watcher, counted by the member from when it sent
// the heartbeat, or a renewal read back from the log, counted from when it was
// written. Each rule's reason stands where it is decided: admissions and lapses
// name the watch that they change (State.join, State.lapse), promises
// (Node.Promise), takeovers of any duty (settling), a member alone (Node.Admit),
// records whose outcome is not known (doubt), dead members that nobody can
// declare (absence), a log that is down (Timing, Status.LogReach).
//
// Where this differs from the design to start from: records name the watch and
// not the epoch, so that the 13 lapses of a dead zone do not make each other
// void; promises run longer while the log is down, since leases would otherwise
// end around the whole ring after one death; a watcher that waits for the word of
// a dead one whose watcher is dead too goes on once the platform no longer lists
// it; a new process at a known address waits until the old incarnation lapses.
//
// # What is not covered
//
// A virtual machine that is suspended may stop its monotonic clock: a lease then
// looks longer than it is. Clocks that run apart by more than the margin in
// Timing. A platform list that drops instances that run (see absence). A log that
// is down for less than Contact and a read when a watcher dies, or goes down right
// after: the leases of the watched end one after the other until it is back.
//
// # Proof
//
// The model test has true time, drifting clocks, late messages and late appends;
// MEMBER_SEEDS=n plays n random schedules, MEMBER_WALK=n all sequences of n faults
// over three members, MEMBER_SEARCH=1 finds new seeds for the mutations after a
// change of the rules, MEMBER_MEASURE="3 9 53" prints costs and times.
//
// # Size
//
// Measured with fleets in one process (loopback, default timing, 20 s of steady
// state): a member sends and receives 640 B/s at 3 members and 630 B/s at 53, all
// layers above TCP counted, and takes 0.04 to 0.09 % of a core. It makes one call
// a second to its watcher and answers one; the log sees a read every two seconds
// and no append. While news spreads (a change of epoch, a refused digest) each
// member makes two calls more a second for some ten seconds: 1.7 to 1.9 KB/s.
// A digest reaches 53 members in 2.75 s; told along the ring alone it took 16 s.
//
// A node takes 136 KB of heap at 53 members with 32 kept changes. A snapshot of
// the membership is 16 KB, written every five minutes: 53 B/s to read. A status
// costs 6 us and 3 KB of garbage to publish, four times a second and with each
// message; Serves costs 2 us without allocation in a settled ring.
//
// A dead member is declared 3.5 to 4.3 s after its death, and all its duties may
// be taken over 4.3 to 6.8 s later (3 to 53 members); of k holders in different
// zones the others serve meanwhile.
//
// With the log down and one of six killed, short promises alone left 0 of 4 others
// with a lease 15 s later. With the promises for an outage, the one left of three
// and all 7 left of nine still held theirs 30 s later; the dead one was declared
// 97 s after the log was back, since it had been promised two minutes.
package member
