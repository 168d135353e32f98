package pool

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/ratelimit"
)

const (
	coldRate     = 8.7
	coldDuration = 3 * time.Second
)

func coldPool(opts ...Option) *Pool {
	p := testPool(opts...)
	p.SetColdStarts(map[galenastair.ServiceName]ColdStart{"writer": {Duration: coldDuration, Rate: coldRate}})
	return p
}

func (p *Pool) limitAt(now time.Time, id galenastair.BackendServerID) float64 {
	return p.limitOf(now, p.backends[id]).PerSecond
}

// Guards against a burst at a server that has just started: while it is cold, all instances
// together keep its service's rate.
func TestColdServerIsLimitedUntilItIsWarm(t *testing.T) {
	is := is.New(t)
	p := coldPool()
	is.Equal(p.limitAt(start, "s1"), 0.0)
	s := p.backends["s1"].Server
	s.Heartbeat, s.ColdUntil = 2, start.Add(2*time.Second)
	p.Set(start, s)
	is.Equal(p.limitAt(start, "s1"), coldRate)
	is.Equal(p.limitAt(start.Add(2*time.Second), "s1"), 0.0)
	p.ObserveLimit(start, "s1", 2, start)
	is.Equal(p.limitAt(start, "s1"), 2.0) // the lower one binds
}

// Guards against a burst at servers of a zone that is taken back: they may have been restarted a
// moment before, while their registrations still show them warm.
func TestServersOfAReturnedZoneCountAsCold(t *testing.T) {
	is := is.New(t)
	p := coldPool()
	evacuate(p, start, "z1")
	back := start.Add(8 * time.Second)
	evacuate(p, back)
	is.Equal(p.limitAt(back, "s1"), coldRate)
	is.Equal(p.limitAt(back, "s3"), 0.0)
	is.Equal(p.limitAt(back.Add(coldDuration), "s1"), 0.0)
}

// arrivalsAtAColdServer plays a fleet of which each instance reads the registration of a cold
// server after up to two seconds and wants to send it far more than its limit. A tenth of the
// fleet has no contact with the leader.
func arrivalsAtAColdServer(seed uint64, fleet int) []time.Time {
	rng := rand.New(rand.NewPCG(seed, 1))
	leader, fallback := ratelimit.NewLimiter(), ratelimit.NewFallbackLimiter(rng)
	fallback.ReportUnreachable(start)
	pools, readAt := make([]*Pool, fleet), make([]time.Time, fleet)
	for i := range pools {
		pools[i] = New("z1", WithRand(rng))
		pools[i].SetColdStarts(map[galenastair.ServiceName]ColdStart{"writer": {Duration: coldDuration, Rate: coldRate}})
		readAt[i] = start.Add(time.Duration(rng.Int64N(int64(2 * time.Second))))
	}
	var arrivals []time.Time
	registered := make([]bool, fleet)
	for now := start; now.Before(start.Add(coldDuration)); now = now.Add(10 * time.Millisecond) {
		for i, p := range pools {
			if now.Before(readAt[i]) || rng.IntN(10) > 0 {
				continue
			}
			if !registered[i] {
				registered[i] = true
				p.Set(now, Server{ID: "s", Service: "writer", Slots: 64, Incarnation: 1, ColdUntil: now.Add(coldDuration),
					Models: []galenastair.LoadedModel{{Name: "m"}}})
			}
			c, ok := p.Choose(now, testQuery())
			if !ok || c.Limit.PerSecond == 0 {
				continue
			}
			var decision ratelimit.Decision
			if i%10 == 0 {
				decision = fallback.Admit(now, c.Limit, ratelimit.Position{Index: i, FleetSize: fleet})
			} else {
				decision = leader.Admit(now, c.Limit, 300*time.Millisecond)
			}
			if decision.Granted {
				arrivals = append(arrivals, now.Add(decision.Delay+time.Duration(rng.IntN(20))*time.Millisecond))
			}
		}
	}
	return arrivals
}

// Guards against a fleet whose instances each keep a cold server's limit for themselves. The
// platform allows one and a half times the rate and five more in any second.
func TestFleetKeepsAColdServersLimit(t *testing.T) {
	for _, fleet := range []int{63, 300} {
		for seed := range uint64(8) {
			t.Run(strconv.Itoa(fleet)+"/"+strconv.FormatUint(seed, 10), func(t *testing.T) {
				is := is.New(t)
				arrivals := arrivalsAtAColdServer(seed, fleet)
				slices.SortFunc(arrivals, time.Time.Compare)
				is.True(float64(len(arrivals)) > coldRate) // the server is used
				first := 0
				for i := range arrivals {
					for arrivals[i].Sub(arrivals[first]) >= time.Second {
						first++
					}
					is.True(float64(i-first+1) <= 1.5*coldRate+5)
				}
			})
		}
	}
}
