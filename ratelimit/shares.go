package ratelimit

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"galenastair"
)

// maxSavedTurns is how many unused turns of all instances together may be saved, on average.
const maxSavedTurns = 1

// Position is an instance's position among those that share the rates.
type Position struct {
	// Index counts from 0. FleetSize is the number of instances; 0 if it is not known.
	Index     int
	FleetSize int
}

// FallbackLimiter admits requests by an instance's own fraction of each rate while the leader does
// not answer. The instances take turns from the time when the leader became unreachable, and an
// unused turn expires, so that a fleet of any size saves up no more than a few requests.
type FallbackLimiter struct {
	rng *rand.Rand

	mu sync.Mutex
	// unreachableSince is when the leader stopped answering; zero if it answers.
	unreachableSince time.Time
	// nextTurns holds the time of the next turn for each server.
	nextTurns map[galenastair.BackendServerID]time.Time
}

// NewFallbackLimiter returns an inactive limiter, for an instance whose leader answers.
func NewFallbackLimiter(rng *rand.Rand) *FallbackLimiter {
	return &FallbackLimiter{rng: rng, nextTurns: map[galenastair.BackendServerID]time.Time{}}
}

// ReportUnreachable records that the leader does not answer.
func (f *FallbackLimiter) ReportUnreachable(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachableSince.IsZero() {
		f.unreachableSince = now
	}
}

// Active reports whether the fallback is in use because the leader does not answer.
func (f *FallbackLimiter) Active() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unreachableSince.IsZero()
}

// ReportAnswer records that the leader answers again.
func (f *FallbackLimiter) ReportAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachableSince = time.Time{}
	clear(f.nextTurns)
}

// Admit grants a request on this instance's turn; ReportUnreachable must have been called
// before.
func (f *FallbackLimiter) Admit(now time.Time, limit Limit, position Position) Decision {
	if position.FleetSize == 0 || limit.PerSecond <= 0 {
		return Decision{Delay: time.Second}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	turn := seconds(1 / limit.PerSecond)
	period := time.Duration(position.FleetSize) * turn
	next, ok := f.nextTurns[limit.Server]
	if !ok {
		before := (position.Index + startOffset(limit.Server)) % position.FleetSize
		next = f.unreachableSince.Add(time.Duration((float64(before) + f.rng.Float64()) * float64(turn)))
	}
	if missed := now.Sub(next) - maxSavedTurns*turn; missed >= 0 {
		next = next.Add((missed + period).Truncate(period))
	}
	f.nextTurns[limit.Server] = next
	if now.Before(next) {
		return Decision{Delay: next.Sub(now)}
	}
	f.nextTurns[limit.Server] = next.Add(period)
	return Decision{Granted: true}
}

// startOffset makes the turns for each server start with a different instance.
func startOffset(id galenastair.BackendServerID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() >> 1)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
