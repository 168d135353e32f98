package entry

import (
	"context"
	"time"

	"galenastair"
	"galenastair/claim"
	"galenastair/member"
)

const (
	// announceTime is how long all members remember a stop: as long as the table
	// of the instance that saw it.
	announceTime = 10 * time.Minute
	// announceTimeout bounds the wait for the control loop.
	announceTimeout = 100 * time.Millisecond
)

// poison joins the stops that this instance saw with those that others announced.
//
// Failure: a caller sends a request that stops each engine again through another
// entry, and each entry counts from nothing. It would show as engines dying one
// after the other. Stops are announced with heartbeats, so that the second one
// counts as the second wherever it happens.
type poison struct {
	table   *claim.Poison
	members *member.Runtime
}

func firstStop(d claim.Digest) string  { return string(d) + "/1" }
func secondStop(d claim.Digest) string { return string(d) + "/2" }

// Allow returns a refusal if the request has stopped too many backend servers.
func (p poison) Allow(now time.Time, d claim.Digest) error {
	if err := p.table.Allow(now, d); err != nil {
		return err
	}
	if until := p.members.Status().Fleet.Refused[secondStop(d)]; now.Before(until) {
		return galenastair.Refuse(galenastair.ErrPoison, until.Sub(now), "")
	}
	return nil
}

// Stopped counts one more stop and reports whether one more server may try.
func (p poison) Stopped(now time.Time, d claim.Digest) bool {
	again := p.table.Stopped(now, d)
	if p.members.Status().Fleet.Refuses(firstStop(d), now) {
		again = false
	}
	mark := secondStop(d)
	if again {
		mark = firstStop(d)
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	// a member that cannot announce now has lost its control loop, and its lease with it
	_ = p.members.Announce(ctx, mark, announceTime)
	return again
}
