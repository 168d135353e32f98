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
	// answeredFor is how long a leader counts as there after it answered; instances exchange
	// with it each 0.6 s at least.
	answeredFor = time.Second
	// firstWait is the longest that one of a few instances waits before it asks the store;
	// more instances wait longer, so that as few come at once.
	firstWait  = 250 * time.Millisecond
	fewMembers = 8
	mostWait   = time.Second
	// inspectors is how many instances look at the lease when the leader does not answer.
	inspectors = 8
	// startJitter spreads the first reads of instances that start together, so that most of
	// them find the leader that the first ones elect.
	startJitter = 100 * time.Millisecond
	// firstBackoff and mostBackoff space the calls to a store that refuses or is away.
	firstBackoff = 100 * time.Millisecond
	mostBackoff  = time.Second
	// slowestLink and linkWait are for an instance whose link carries little: it comes a
	// second behind the others, and so much less as its link carries more.
	slowestLink = 10
	linkWait    = time.Second
	// memberMbps is what the exchanges of one instance take of the leader's link, and fullWait
	// how long one is behind whose link they would fill.
	memberMbps = 0.08
	fullWait   = 2 * time.Second
	mostFull   = 1.5
)

// WithLink says what this instance's link carries, in Mbit a second; 0 is not known.
func WithLink(mbps float64) Option { return func(e *Elector) { e.mbps = mbps } }

// linkDelay is how long this instance leaves the lease to others, so that the exchanges of a
// large fleet do not fill a small link.
func (e *Elector) linkDelay() time.Duration {
	if e.mbps <= 0 {
		return 0
	}
	own := min(1, slowestLink/e.mbps) * float64(linkWait)
	full := min(mostFull, memberMbps*float64(e.Fleet())/e.mbps) * float64(fullWait)
	return time.Duration(own + full)
}

// follow waits until the lease seems to have ended, and then tries to take it.
func (e *Elector) follow(ctx context.Context) {
	if e.inspects() {
		e.load(ctx)
		return
	}
	if left := e.leased(); left > 0 {
		e.sleep(ctx, left)
		return
	}
	if e.Leader() == e.member && e.asked() {
		// the process before this one led
		e.campaign(ctx)
		return
	}
	if !timer.Wait(ctx, e.jitter()) || e.leased() > 0 {
		return
	}
	if !e.load(ctx) {
		e.pause(ctx)
		return
	}
	e.backoff = 0
	if e.leased() <= 0 && timer.Wait(ctx, e.linkDelay()) && e.leased() <= 0 {
		e.campaign(ctx)
	}
}

// Suspect says that the leader did not answer. It may have renewed the lease since it last did,
// and the ttl counts from when that was seen: so a few instances look at once.
func (e *Elector) Suspect() {
	e.mu.Lock()
	first := !e.suspected
	e.suspected, e.inspect = true, e.inspect || first
	e.mu.Unlock()
	if !first {
		return
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// inspects says whether this instance is one of those that look.
func (e *Elector) inspects() bool {
	e.mu.Lock()
	inspect := e.inspect
	e.inspect = false
	e.mu.Unlock()
	return inspect && rand.IntN(max(1, e.Fleet())) < inspectors
}

// asked says whether the store has answered what the record is.
func (e *Elector) asked() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.read
}

// leased is for how long the lease may still be another's.
func (e *Elector) leased() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	if !e.read || e.denied || e.known.Leader == "" || e.known.Leader == e.member {
		return 0
	}
	return max(e.expires.Sub(now), e.answered.Add(answeredFor).Sub(now))
}

// jitter spreads the instances that miss a leader at the same moment.
func (e *Elector) jitter() time.Duration {
	fleet := e.Fleet()
	if fleet == 0 {
		return rand.N(firstWait)
	}
	return rand.N(min(mostWait, firstWait*time.Duration(max(1, fleet/fewMembers))))
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

// pause waits longer after each call that has brought nothing.
func (e *Elector) pause(ctx context.Context) {
	e.backoff = min(mostBackoff, max(firstBackoff, 2*e.backoff))
	timer.Wait(ctx, rand.N(e.backoff)+e.backoff/2)
}

// campaign tries to take the lease.
func (e *Elector) campaign(ctx context.Context) {
	e.mu.Lock()
	r := Record{Offset: e.known.Offset + 1, Leader: e.member, Fleet: e.known.Fleet}
	e.mu.Unlock()
	before := Lapsed
	if r.Offset == 0 {
		before = Nobody
	}
	r.Fence = galenastair.Fence(r.Offset) + 1
	sent := e.clock()
	r, err := e.write(ctx, r)
	switch {
	case err == nil:
		e.held = true
		e.accepted(ctx, sent, r, before)
	case errors.Is(err, galenastair.ErrConflict):
		e.load(ctx)
	default:
		e.logger.Log("event", "lease", "call", "take", "err", err)
		e.pause(ctx)
	}
}
