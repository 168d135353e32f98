package member

import "time"

// Timing holds the periods of the membership protocol.
type Timing struct {
	// Heartbeat is how often a member asks its watcher for a promise.
	Heartbeat time.Duration
	// Timeout is after how long a heartbeat counts as unanswered.
	Timeout time.Duration
	// Lease is how long a member acts on a promise, by its own clock, from the
	// moment it sent the heartbeat.
	Lease time.Duration
	// Promise is how long a watcher keeps its promise, by its own clock.
	Promise time.Duration
	// Outage is how long a promise runs that is given while neither side reaches the log.
	Outage time.Duration
	// Renew is how old the last promise may get before the member turns to the log.
	Renew time.Duration
	// Retry is how often an append without a known outcome is repeated.
	Retry time.Duration
	// Contact is how old the last reading of the log's end may be for a change to be started.
	Contact time.Duration
	// Absence is how long all other members must be silent and unlisted before a fresh ring.
	Absence time.Duration
	// Probe is how often all other members are probed by one that is cut from the ring.
	Probe time.Duration
	// Spread is how long a piece of news is told to members outside the ring order.
	Spread time.Duration
}

// DefaultTiming suits regions with up to a few milliseconds between availability zones.
//
// Lease: three heartbeats may fail before the fourth decides, so that one lost
// connection (found dead after Timeout) costs no lease. A shorter one would make
// a pause of a second, as a busy small instance shows it, end leases; a longer
// one leaves a dead member's duties unserved for longer.
//
// Promise: the two clocks that measure it may run apart by 1 % each; quartz
// clocks stay under 0.01 %, and a slewing time service under 0.05 %.
//
// Outage: with the log down, a member whose watcher dies can neither be promised
// nor renew; its lease would end after Lease, and since it then promises nothing,
// so would the next along the ring, each a lease later: 9 instances would be
// without one after 36 s. While the log is down nothing can be declared anyway,
// so promises may run longer then. The price: a member that dies in an outage is
// declared up to this long after its death, and a watch taken over from a dead
// watcher waits this long if the watched member is silent too.
//
// Contact: a change started while the log is down leaves a doubt behind that
// blocks promises. A read takes three seconds at most (see followWait), so a log
// that answers at all is never taken for one that is down.
//
// Probe: a cold start at 53 members costs each joiner some 10 calls a second.
//
// Absence: the platform's list lags by seconds; half a minute of fresh reads is
// several times that, and it matters only after every member has died.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat: time.Second,
		Timeout:   800 * time.Millisecond,
		Lease:     4 * time.Second,
		Promise:   4*time.Second + 100*time.Millisecond,
		Outage:    2 * time.Minute,
		Renew:     1500 * time.Millisecond,
		Retry:     2 * time.Second,
		Contact:   3500 * time.Millisecond,
		Absence:   30 * time.Second,
		Probe:     5 * time.Second,
		Spread:    10 * time.Second,
	}
}
