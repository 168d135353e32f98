package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// In each window the server may receive ratio times what its limit allows, plus slack
	// requests.
	window = 4 * time.Second
	ratio  = 1.5
	slack  = 5
)

func allowed(perSecond float64) int { return int(ratio*perSecond*window.Seconds()) + slack }

// maxInWindow returns the largest number of times within one window.
func maxInWindow(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for i, first := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// simulatedTime is the length of a simulation.
const simulatedTime = 30 * time.Second

// simulate sends far more than a server's limit and returns when the server received requests. If
// lose is set, the leader is lost and replaced repeatedly; all instances notice a new leader at
// once, and its loss within 0.6 s.
func simulate(rng *rand.Rand, fleet int, perSecond float64, lose bool) []time.Time {
	start := time.Now()
	leader := NewLimiter()
	var shares []*FallbackLimiter
	for range fleet {
		shares = append(shares, NewFallbackLimiter(rng))
	}
	leading, nextChange := true, start
	var got []time.Time
	for now := start; now.Before(start.Add(simulatedTime)); now = now.Add(10 * time.Millisecond) {
		if lose && !now.Before(nextChange) {
			nextChange = now.Add(time.Duration(rng.IntN(6000)+200) * time.Millisecond)
			if leading = !leading; leading {
				leader.Reset()
				for _, s := range shares {
					s.ReportAnswer()
				}
			} else {
				for _, s := range shares {
					s.ReportUnreachable(now.Add(time.Duration(rng.IntN(600)) * time.Millisecond))
				}
			}
		}
		limit := Limit{Server: "s", PerSecond: perSecond, Age: time.Duration(rng.IntN(300)) * time.Millisecond}
		for range 2 + fleet/40 {
			var v Decision
			if leading {
				v = leader.Admit(now, limit, 300*time.Millisecond)
			} else {
				i := rng.IntN(fleet)
				v = shares[i].Admit(now, limit, Position{i, fleet})
			}
			if v.Granted {
				got = append(got, now.Add(v.Delay))
			}
		}
	}
	return got
}

// Many instances send to one server with a limit. Together they must not exceed the limit.
func TestFleetKeepsALimitTogether(t *testing.T) {
	for _, fleet := range []int{1, 6, 24, 370} {
		for _, perSecond := range []float64{0.3, 1, 1.1, 8, 60} {
			t.Run(fmt.Sprint(fleet, " ", perSecond), func(t *testing.T) {
				is := is.New(t)
				got := simulate(rand.New(rand.NewPCG(1, 1)), fleet, perSecond, false)
				is.True(maxInWindow(got) <= allowed(perSecond))
				// the limit is also used up
				is.True(float64(len(got)) >= 0.95*perSecond*simulatedTime.Seconds()-2)
			})
		}
	}
}

// The leader is lost repeatedly. What its successors grant must not come on top of what it has
// granted.
func TestChangesOfTheLeaderGrantNothingTwice(t *testing.T) {
	for seed := range uint64(10) {
		for _, fleet := range []int{6, 24, 370} {
			for _, perSecond := range []float64{0.3, 1, 1.1, 8} {
				is := is.New(t)
				got := simulate(rand.New(rand.NewPCG(seed, 2)), fleet, perSecond, true)
				if n := maxInWindow(got); n > allowed(perSecond) {
					t.Errorf("seed %d, %d instances, %v a second: %d requests of %d", seed, fleet, perSecond, n, allowed(perSecond))
				}
				is.True(len(got) > 0)
			}
		}
	}
}

// A lower limit takes effect at once, and an older limit that arrives later does not raise it.
func TestNewestLimitBinds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := NewLimiter()
	l.Admit(now, Limit{"s", 50, 0}, 0)
	now = now.Add(10 * time.Second)
	l.Admit(now, Limit{"s", 1, time.Second}, 0)
	n := 0
	for range 1000 {
		now = now.Add(4 * time.Millisecond)
		if l.Admit(now, Limit{"s", 50, 30 * time.Second}, 0).Granted {
			n++
		}
	}
	is.True(n <= 5)
}

// A refused request takes nothing from those that follow.
func TestRefusalTakesNothing(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := NewLimiter()
	for range 100 {
		is.True(!l.Admit(now, Limit{"s", 1, 0}, 500*time.Millisecond).Granted)
	}
	v := l.Admit(now.Add(600*time.Millisecond), Limit{"s", 1, 0}, 500*time.Millisecond)
	is.True(v.Granted)
	is.True(v.Delay <= 400*time.Millisecond)
}
