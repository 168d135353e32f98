package member

import "time"

// Timing holds the intervals and durations of the membership protocol.
type Timing struct {
	// HeartbeatInterval is how often a member requests a lease from its watcher.
	HeartbeatInterval time.Duration
	// CallTimeout is the timeout of a call to another member.
	CallTimeout time.Duration
	// LeaseDuration is how long a member acts on a granted lease, by its own clock, from when it
	// sent the heartbeat.
	LeaseDuration time.Duration
	// GrantDuration is how long a watcher honours a lease that it has granted, by its own clock.
	GrantDuration time.Duration
	// OutageLeaseDuration replaces LeaseDuration while neither side reaches the log.
	OutageLeaseDuration time.Duration
	// RenewAfter is the age of the last grant after which the member renews its lease through the log.
	RenewAfter time.Duration
	// AppendRetryInterval is how often an append with an unknown outcome is repeated.
	AppendRetryInterval time.Duration
	// LogContactMaxAge is the age of the last read to the end of the log above which the log counts
	// as unreachable, so that no membership change is started.
	LogContactMaxAge time.Duration
	// DeadAfter is how long all other members must be unreachable and missing from the platform's
	// list before a new ring is started.
	DeadAfter time.Duration
	// ProbeInterval is how often an instance that is not served by the ring probes all other members.
	ProbeInterval time.Duration
	// GossipDuration is how long a change is gossiped to members that are not neighbours in the ring.
	GossipDuration time.Duration
}

// DefaultTiming returns a Timing for regions with up to a few milliseconds of latency between
// availability zones.
//
// LeaseDuration: a lease survives three failed heartbeats, so one lost connection, noticed after
// CallTimeout, does not end it. With a shorter one, a pause of a second, as occurs on small busy
// instances, would end leases. With a longer one, the roles of a dead member stay without an owner
// for longer.
//
// GrantDuration: allows each of the two clocks that measure it to be off by 1 %. Quartz clocks
// stay below 0.01 %, and a time service that slews the clock below 0.05 %.
//
// OutageLeaseDuration: while the log is down, a member whose watcher dies can neither be granted a
// lease nor renew it through the log. With short leases its lease would end after LeaseDuration;
// a member without a lease grants none, so the next one along the ring would lose its lease one
// LeaseDuration later, and so on: 9 instances would all be without a lease after 36 s. No member
// can be declared lapsed while the log is down, so leases can be longer then. The cost is that a
// member that dies during an outage is declared lapsed up to this long after its death, and that a
// member that takes over the watch of a dead watcher waits this long if the watched member is
// unreachable too.
//
// LogContactMaxAge: a change that is started while the log is down leaves a pending record, which
// blocks grants. A read takes at most 3 s (see readWait), so a log that answers is never taken for
// one that is down.
//
// ProbeInterval: a cold start with 53 members costs each joining instance about 10 calls a second.
//
// DeadAfter: the platform's list lags by seconds. 30 s is several times that, and delays only a
// recovery after all members have died.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval:   time.Second,
		CallTimeout:         800 * time.Millisecond,
		LeaseDuration:       4 * time.Second,
		GrantDuration:       4*time.Second + 100*time.Millisecond,
		OutageLeaseDuration: 2 * time.Minute,
		RenewAfter:          1500 * time.Millisecond,
		AppendRetryInterval: 2 * time.Second,
		LogContactMaxAge:    3500 * time.Millisecond,
		DeadAfter:           30 * time.Second,
		ProbeInterval:       5 * time.Second,
		GossipDuration:      10 * time.Second,
	}
}
