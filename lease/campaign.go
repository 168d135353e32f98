package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"galenastair"
	"galenastair/timer"
)

const (
	// answerValidity is how long a leader counts as alive after an answer. Instances exchange with
	// it at least every 0.6 s.
	answerValidity = time.Second
	// baseElectionJitter is the longest random wait before an instance of a small fleet asks the
	// store. Larger fleets wait up to maxElectionJitter, so that few instances ask at the same
	// time.
	baseElectionJitter = 250 * time.Millisecond
	smallFleet         = 8
	maxElectionJitter  = time.Second
	// leaseCheckers is how many instances read the lease, on average, when the leader does not
	// answer.
	leaseCheckers = 8
	// startJitter spreads the first reads of instances that start together, so that most of them
	// find the leader that the first ones elect.
	startJitter = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the mean wait between calls to a store that fails.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// An instance whose link has slowLinkMbps or less campaigns slowLinkDelay later than the
	// others; a faster link reduces the delay in proportion.
	slowLinkMbps  = 10
	slowLinkDelay = time.Second
	// exchangeMbps is what the exchanges of one instance take of the leader's link, and
	// fullLinkDelay the delay of an instance whose link they would fill. The load counts up to
	// maxLinkLoad.
	exchangeMbps  = 0.08
	fullLinkDelay = 2 * time.Second
	maxLinkLoad   = 1.5
)

// WithLinkMbps sets the bandwidth of this instance's link in Mbit/s; 0 means unknown.
func WithLinkMbps(mbps float64) Option { return func(e *Elector) { e.linkMbps = mbps } }

// WithFirstStart sets whether the whole fleet starts for the first time, so that there is no leader
// yet.
func WithFirstStart(first bool) Option { return func(e *Elector) { e.firstStart = first } }

// startDelay returns how long this instance waits before its first read of the lease. At the first
// start, instances on slow links would find no leader and read again.
func (e *Elector) startDelay() time.Duration {
	delay := rand.N(startJitter)
	if e.firstStart {
		delay += e.linkDelay()
	}
	return delay
}

// linkDelay returns how long this instance leaves the lease to others, so that the exchanges of a
// large fleet do not fill a slow link.
func (e *Elector) linkDelay() time.Duration {
	if e.linkMbps <= 0 {
		return 0
	}
	own := min(1, slowLinkMbps/e.linkMbps) * float64(slowLinkDelay)
	full := min(maxLinkLoad, exchangeMbps*float64(e.FleetSize())/e.linkMbps) * float64(fullLinkDelay)
	return time.Duration(own + full)
}

// follow waits until the lease seems to have ended, and then tries to take it.
func (e *Elector) follow(ctx context.Context) {
	if e.shouldCheckLease() {
		e.loadRecord(ctx)
		return
	}
	if left := e.leaseRemaining(); left > 0 {
		e.sleep(ctx, left)
		return
	}
	if e.Leader() == e.self && e.hasRecord() {
		// the previous process of this instance was the leader
		e.campaign(ctx)
		return
	}
	if !timer.Wait(ctx, e.electionJitter()) || e.leaseRemaining() > 0 {
		return
	}
	if !e.loadRecord(ctx) {
		e.pause(ctx)
		return
	}
	e.backoff = 0
	if e.leaseRemaining() <= 0 && timer.Wait(ctx, e.linkDelay()) && e.leaseRemaining() <= 0 {
		e.campaign(ctx)
	}
}

// ReportUnreachable records that the leader did not answer. It may have renewed the lease after
// its last answer, and the TTL counts from when that renewal is seen. So a few instances read the
// lease at once.
func (e *Elector) ReportUnreachable() {
	e.mu.Lock()
	firstReport := !e.leaderUnreachable
	e.leaderUnreachable, e.checkLease = true, e.checkLease || firstReport
	e.mu.Unlock()
	if !firstReport {
		return
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// shouldCheckLease reports whether this instance is one of the few that read the lease after
// ReportUnreachable.
func (e *Elector) shouldCheckLease() bool {
	e.mu.Lock()
	check := e.checkLease
	e.checkLease = false
	e.mu.Unlock()
	return check && rand.IntN(max(1, e.FleetSize())) < leaseCheckers
}

// hasRecord reports whether the record has been read from the store.
func (e *Elector) hasRecord() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

// leaseRemaining returns how long another instance may still hold the lease.
func (e *Elector) leaseRemaining() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	if !e.loaded || e.leaderSteppedDown || e.record.Leader == "" || e.record.Leader == e.self {
		return 0
	}
	return max(e.expires.Sub(now), e.answeredAt.Add(answerValidity).Sub(now))
}

// electionJitter returns a random wait for instances that lose a leader at the same moment.
func (e *Elector) electionJitter() time.Duration {
	fleet := e.FleetSize()
	if fleet == 0 {
		return rand.N(baseElectionJitter)
	}
	return rand.N(min(maxElectionJitter, baseElectionJitter*time.Duration(max(1, fleet/smallFleet))))
}

func (e *Elector) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.wake:
	case <-ctx.Done():
	}
}

// pause waits with exponential backoff after a failed call.
func (e *Elector) pause(ctx context.Context) {
	e.backoff = min(maxBackoff, max(minBackoff, 2*e.backoff))
	timer.Wait(ctx, rand.N(e.backoff)+e.backoff/2)
}

// campaign tries to take the lease.
func (e *Elector) campaign(ctx context.Context) {
	e.mu.Lock()
	known := e.record
	predecessor := e.predecessor()
	restored, lastFence := e.restored(), e.highestFence
	e.mu.Unlock()
	r := Record{Offset: known.Offset + 1, Leader: e.self, FleetSize: known.FleetSize}
	r.Fence = galenastair.Fence(r.Offset) + 1
	sent := e.clock()
	r, err := e.write(ctx, r)
	switch {
	case err == nil:
		e.held = true
		for _, c := range e.checkpoints {
			c.inherit(restored, lastFence)
		}
		e.renewalAccepted(ctx, sent, r, predecessor)
	case errors.Is(err, galenastair.ErrConflict):
		if !e.loadRecord(ctx) || e.LatestRecord().Offset <= known.Offset {
			e.pause(ctx)
		}
	default:
		e.logger.Log("event", "lease", "call", "take", "err", err)
		e.pause(ctx)
	}
}

// predecessor returns what is known of the leader before. In a restored store the record may be older
// than the last leader, which may not know yet that its lease is lost. The lock must be held.
func (e *Elector) predecessor() Predecessor {
	switch {
	case e.highestFence == 0 && (e.record.Offset+1).Position() == 0:
		return NoPredecessor
	case e.restored():
		return PredecessorUnknown
	}
	return PredecessorLapsed
}

// restored reports whether no instance has taken the lease since the store was restored. The lock must
// be held.
func (e *Elector) restored() bool {
	return e.record.Offset >= 0 && e.record.Fence.Timeline() < (e.record.Offset+1).Timeline()
}
