package ratelimit

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"galenastair"
)

// saved is how many unused turns of all instances together may lie by, on average.
const saved = 1

// Place is an instance's place among those that share the rates.
type Place struct {
	// Index counts from 0; Fleet is how many instances there are, 0 if that is not known.
	Index int
	Fleet int
}

// Shares admit requests by an instance's own part of each rate while the leader does not
// answer. The instances have their turns one after the other from when they lost the leader,
// and an unused turn expires, so that a fleet of any size saves up no more than a few requests.
type Shares struct {
	rng *rand.Rand

	mu sync.Mutex
	// lost is since when the leader does not answer; zero if it does.
	lost time.Time
	// turns are the next of each server since then.
	turns map[galenastair.BackendServerID]time.Time
}

// NewShares returns the shares of an instance whose leader answers.
func NewShares(rng *rand.Rand) *Shares {
	return &Shares{rng: rng, turns: map[galenastair.BackendServerID]time.Time{}}
}

// Lost says that the leader does not answer.
func (s *Shares) Lost(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost.IsZero() {
		s.lost = now
	}
}

// Alone says whether the leader does not answer.
func (s *Shares) Alone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost.IsZero()
}

// Answered says that the leader answers again.
func (s *Shares) Answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = time.Time{}
	clear(s.turns)
}

// Admit grants a request on this instance's turn, after Lost.
func (s *Shares) Admit(now time.Time, limit Limit, place Place) Verdict {
	if place.Fleet == 0 || limit.PerSecond <= 0 {
		return Verdict{Wait: time.Second}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	turn := seconds(1 / limit.PerSecond)
	period := time.Duration(place.Fleet) * turn
	next, ok := s.turns[limit.Server]
	if !ok {
		before := (place.Index + rotation(limit.Server)) % place.Fleet
		next = s.lost.Add(time.Duration((float64(before) + s.rng.Float64()) * float64(turn)))
	}
	if missed := now.Sub(next) - saved*turn; missed >= 0 {
		next = next.Add((missed + period).Truncate(period))
	}
	s.turns[limit.Server] = next
	if now.Before(next) {
		return Verdict{Wait: next.Sub(now)}
	}
	s.turns[limit.Server] = next.Add(period)
	return Verdict{Granted: true}
}

// rotation has another instance begin at each server.
func rotation(id galenastair.BackendServerID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() >> 1)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
