// Package member maintains the membership of the instances of a region: which instances belong to
// it, which of them leads, and which of them owns a role, such as a slot of a key. It needs no
// coordination service. Changes of membership are records of the platform's log. Liveness is
// determined along a ring, in which each member grants a lease to the member before it.
//
// # Parts
//
// State is the result of applying the membership records; equal records give equal states. Node is
// the state machine of one instance: it is given events with their times and returns actions.
// Runtime executes these on the control loop. Status is the snapshot that request handling reads. A
// StateMachine of another package, such as the order ledger, is given each record together with the
// State right after its offset, and has its own section in the leader's snapshots.
//
// # Rules
//
// Each member is watched by the next member on the ring, its watcher. Only the watcher may declare
// it lapsed, which removes it from the ring. A lease is granted by the watcher and counted by the
// member from when it sent the heartbeat. If the watcher does not answer, the member appends a
// renewal to the log; once read back, it counts from when it was appended. Each rule is explained
// where it is implemented:
//
//   - joins and lapses name the watch that they change: State.join, State.lapse
//   - granting a lease: Node.HandleHeartbeat
//   - taking over a role from another member: ownerHistory
//   - a sole member: Node.Admit
//   - records with an unknown outcome: pendingRecord
//   - dead members that no watcher can declare lapsed: deathEvidence
//   - outages of the log: Timing, Status.LogReachability
//
// Some choices have alternatives that fail:
//
//   - Records name the watch and not the epoch. With the epoch, the 13 Lapse records of a failed
//     zone would invalidate each other.
//   - Leases are longer while the log is down. Otherwise one death would end the leases around the
//     whole ring.
//   - A watcher that waits for the ack of a dead member whose watcher is dead too goes on once the
//     platform no longer lists that member. Otherwise it would wait for good.
//   - A new process at a known address waits until the old incarnation has been declared lapsed.
//
// # Limitations
//
// The following cases are not covered:
//
//   - A suspended virtual machine may stop its monotonic clock, so that its lease seems to run longer
//     than it does.
//   - Clocks may drift apart by more than the margin in Timing.
//   - The platform's list may omit running instances (see deathEvidence).
//   - The log may be down for less than LogContactMaxAge plus one read when a watcher dies, or go down
//     right after. The leases of the members before it then end one after the other until it is back.
//
// # Tests
//
// The model test simulates true time, drifting clocks, late messages and late appends.
// MEMBER_SEEDS=n runs n random schedules, and MEMBER_WALK=n all sequences of n faults over three
// members. MEMBER_SEARCH=1 finds new seeds for the mutations after a change of the rules.
// MEMBER_MEASURE="3 9 53" prints costs and times for these numbers of members.
//
// # Costs
//
// These figures are for instances in one process over loopback, with the default timing and 20 s of
// steady state. All layers above TCP are counted.
//
// A member sends and receives 640 B/s at 3 members and 630 B/s at 53, and uses 0.04 to 0.09 % of a
// core. It makes one call a second to its watcher and answers one. The log gets a read every two
// seconds from each member, and no append. While a change is gossiped (a new epoch or a refused
// digest), each member makes two more calls a second for about 10 s: 1.7 to 1.9 KB/s. A digest
// reaches 53 members in 2.75 s; along the ring alone it takes 16 s.
//
// A node takes 136 KB of heap at 53 members with 32 kept changes. The membership section of a
// snapshot is 16 KB, written every five minutes: 53 B/s to read. Publishing a status takes 6 us and
// allocates 3 KB, four times a second and with each message. Status.Serves takes 2 us and does not
// allocate once the ring has converged.
//
// A dead member is declared lapsed 3.5 to 4.3 s after its death, and all its roles can be taken over
// 4.3 to 6.8 s after that (3 to 53 members). The other owners of a key, in other zones, serve
// meanwhile.
//
// With the log down and one of six members killed, short leases alone left none of 4 others with a
// lease after 15 s. With the leases for an outage, the only other one of three and all 7 others of
// nine held theirs after 30 s. The dead member was declared lapsed 97 s after the log was back, since
// its lease ran for two minutes.
package member
