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
type Place struct {
	// Index counts from 0. Fleet is the number of instances; 0 if it is not known.
	Index int
	Fleet int
}

// FallbackLimiter admits requests by an instance's own fraction of each rate while the leader does
// not answer. The instances take turns from the time when they lost the leader, and an unused turn
// expires, so that a fleet of any size saves up no more than a few requests.
type Shares struct {
	rng *rand.Rand

	mu sync.Mutex
	// leaderLostAt is when the leader stopped answering; zero if it answers.
	leaderLostAt time.Time
	// nextTurns holds the time of the next turn for each server.
	nextTurns map[galenastair.BackendServerID]time.Time
}

// NewFallbackLimiter returns an inactive limiter, for an instance whose leader answers.
func NewShares(rng *rand.Rand) *Shares {
	return &Shares{rng: rng, nextTurns: map[galenastair.BackendServerID]time.Time{}}
}

// LeaderLost records that the leader does not answer.
func (s *Shares) Lost(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaderLostAt.IsZero() {
		s.leaderLostAt = now
	}
}

// Active reports whether the fallback is in use because the leader does not answer.
func (s *Shares) Alone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaderLostAt.IsZero()
}

// LeaderAnswered records that the leader answers again.
func (s *Shares) Answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderLostAt = time.Time{}
	clear(s.nextTurns)
}

// Admit grants a request on this instance's turn; LeaderLost must have been called before.
func (s *Shares) Admit(now time.Time, limit Limit, place Place) Verdict {
	if place.Fleet == 0 || limit.PerSecond <= 0 {
		return Verdict{Wait: time.Second}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	turn := seconds(1 / limit.PerSecond)
	period := time.Duration(place.Fleet) * turn
	next, ok := s.nextTurns[limit.Server]
	if !ok {
		before := (place.Index + startOffset(limit.Server)) % place.Fleet
		next = s.leaderLostAt.Add(time.Duration((float64(before) + s.rng.Float64()) * float64(turn)))
	}
	if missed := now.Sub(next) - maxSavedTurns*turn; missed >= 0 {
		next = next.Add((missed + period).Truncate(period))
	}
	s.nextTurns[limit.Server] = next
	if now.Before(next) {
		return Verdict{Wait: next.Sub(now)}
	}
	s.nextTurns[limit.Server] = next.Add(period)
	return Verdict{Granted: true}
}

// startOffset lets the turns for each server start with another instance.
func startOffset(id galenastair.BackendServerID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() >> 1)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
