package pool

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// fleetSim simulates many instances that send to the copies of one model. Each learns of the
// others' requests only through an exchange every few hundred milliseconds. Engines process one
// prompt at a time.
type fleetSim struct {
	rng   *rand.Rand
	pools []*Pool
	// busyUntil is the time until which an engine processes prompts.
	busyUntil map[galenastair.BackendServerID]time.Time
	running   []runningRequest
	copies    int
}

type runningRequest struct {
	pool    *Pool
	attempt *Attempt
	id      galenastair.BackendServerID
	ends    time.Time
}

const (
	exchangePeriod = 300 * time.Millisecond
	prefillTime    = 100 * time.Millisecond
)

func newFleetSim(seed uint64, instances, copies int) *fleetSim {
	s := &fleetSim{rng: rand.New(rand.NewPCG(seed, 5)), busyUntil: map[galenastair.BackendServerID]time.Time{}, copies: copies}
	for range instances {
		p := New("z", WithRand(s.rng), WithFleetSize(func() int { return instances }))
		addCopies(p, 0, copies)
		s.pools = append(s.pools, p)
	}
	return s
}

func addCopies(p *Pool, from, to int) {
	for i := from; i < to; i++ {
		p.Set(start, Server{ID: galenastair.BackendServerID("s" + strconv.Itoa(i)), Service: "writer", AvailabilityZone: "z",
			Slots: 64, Incarnation: 1, Heartbeat: 1, Models: []galenastair.LoadedModel{{Name: "m"}}})
	}
}

// exchange reports the requests of all other instances to one instance.
func (s *fleetSim) exchange(now time.Time, p *Pool) {
	loads := map[ServerKey]Load{}
	for _, r := range s.running {
		if r.pool != p {
			l := loads[KeyOf(r.id)]
			loads[KeyOf(r.id)] = Load{l.InFlight + 1, l.PendingTokens + 2000}
		}
	}
	p.SetPeerLoads(now, loads)
}

// run sends requests at a fraction of the engines' capacity, and returns the fraction of them that
// waited longer than over for the first event.
func (s *fleetSim) run(load float64, over time.Duration) float64 {
	gap := time.Duration(float64(prefillTime) / load / float64(s.copies))
	late, n := 0, 0
	now := start
	next := make([]time.Time, len(s.pools))
	for i := range next {
		next[i] = start.Add(time.Duration(s.rng.Int64N(int64(exchangePeriod))))
	}
	for now.Before(start.Add(20 * time.Second)) {
		now = now.Add(time.Duration(s.rng.ExpFloat64() * float64(gap)))
		for i, p := range s.pools {
			if next[i].Before(now) {
				s.exchange(next[i], p)
				next[i] = next[i].Add(exchangePeriod)
			}
		}
		s.end(now)
		if s.send(now) > over {
			late++
		}
		n++
	}
	return float64(late) / float64(n)
}

func (s *fleetSim) end(now time.Time) {
	rest := s.running[:0]
	for _, r := range s.running {
		if r.ends.After(now) {
			rest = append(rest, r)
			continue
		}
		r.attempt.Started(r.ends)
		r.attempt.End(r.ends, Succeeded)
	}
	s.running = rest
}

// send sends one request from a random instance, and returns the time until its prompt is
// processed.
func (s *fleetSim) send(now time.Time) time.Duration {
	p := s.pools[s.rng.IntN(len(s.pools))]
	q := Query{Service: "writer", TargetLatency: 800 * time.Millisecond, RequestHints: galenastair.RequestHints{Model: "m", PromptTokens: 2000, OutputTokens: 20}}
	choice, _ := p.Choose(now, q)
	a := p.Begin(now, choice.ID, q)
	begin := s.busyUntil[choice.ID]
	if begin.Before(now) {
		begin = now
	}
	s.busyUntil[choice.ID] = begin.Add(prefillTime)
	s.running = append(s.running, runningRequest{p, a, choice.ID, s.busyUntil[choice.ID]})
	return s.busyUntil[choice.ID].Sub(now)
}

// A hundred instances choose among engines with a delayed view of their load. If each compared all
// copies, they would all choose the engine that was the least loaded a moment ago; 8.3 % of the
// requests would then be late.
func TestInstancesDoNotOverloadOneEngine(t *testing.T) {
	is := is.New(t)
	late := 0.0
	for seed := range uint64(3) {
		late += newFleetSim(seed, 100, 16).run(0.7, 400*time.Millisecond) / 3
	}
	t.Logf("%.3f late", late)
	is.True(late < 0.05)
}

// An engine had a queue that this instance did not know of, and is idle seconds later. If the long
// latency were not forgotten, the instance would keep sending to a busy engine instead, and would
// not observe that the queue is gone.
func TestOldQueueIsForgotten(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.Remove("s3")
	now := start
	for range 5 {
		a := p.Begin(now, "s1", testQuery())
		now = now.Add(3 * time.Second)
		a.Started(now)
		a.End(now, Succeeded)
	}
	c, _ := p.Choose(now, testQuery())
	is.Equal(c.ID, galenastair.BackendServerID("s2"))
	now = now.Add(10 * time.Second)
	p.SetPeerLoads(now, map[ServerKey]Load{KeyOf("s2"): {InFlight: 2, PendingTokens: 4000}})
	c, _ = p.Choose(now, testQuery())
	is.Equal(c.ID, galenastair.BackendServerID("s1"))
}
