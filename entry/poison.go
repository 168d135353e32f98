package entry

import (
	"context"
	"time"

	"galenastair"
	"galenastair/claim"
	"galenastair/member"
)

const (
	// fleetRefusalPeriod is how long all members remember a crash. It is the same as in
	// the table of the instance that observed the crash.
	fleetRefusalPeriod = 10 * time.Minute
	// fleetRefusalTimeout limits the wait for the control loop.
	fleetRefusalTimeout = 100 * time.Millisecond
)

// poisonTracker combines the crashes that this instance observed with those that other
// instances have reported.
//
// A caller may retry a request that crashes engines through another instance. If each
// instance counted only its own crashes, the request could crash one engine after the
// other. Crashes are therefore sent to all members with the heartbeats, so that the
// second crash is recognised on every instance.
type poisonTracker struct {
	local   *claim.PoisonTracker
	members *member.Runtime
}

func firstCrashKey(d claim.Digest) string  { return string(d) + "/1" }
func secondCrashKey(d claim.Digest) string { return string(d) + "/2" }

// Allow returns a refusal if the request has crashed too many backend servers.
func (p poisonTracker) Allow(now time.Time, d claim.Digest) error {
	if err := p.local.Allow(now, d); err != nil {
		return err
	}
	if until := p.members.Status().Fleet.Refused[secondCrashKey(d)]; now.Before(until) {
		return galenastair.NewRefusal(galenastair.ErrPoisonRequest, until.Sub(now), "")
	}
	return nil
}

// RecordCrash counts a crash and reports whether the request may be retried.
func (p poisonTracker) RecordCrash(now time.Time, c claim.Crash) bool {
	retry := p.local.RecordCrash(now, c)
	if p.members.Status().Fleet.Refuses(firstCrashKey(c.Digest), now) {
		retry = false
	}
	key := secondCrashKey(c.Digest)
	if retry {
		key = firstCrashKey(c.Digest)
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleetRefusalTimeout)
	defer cancel()
	// The error can be ignored: a member whose control loop does not respond has lost
	// its lease as well.
	_ = p.members.RefuseDigest(ctx, key, fleetRefusalPeriod)
	return retry
}
