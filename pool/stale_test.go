package pool

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// crowd plays many instances before the copies of one model. Each knows of the others' requests
// only by an exchange some hundred milliseconds ago; engines read one prompt after the other.
type crowd struct {
	rng   *rand.Rand
	pools []*Pool
	// free is until when an engine reads.
	free    map[galenastair.BackendServerID]time.Time
	running []reading
	copies  int
}

type reading struct {
	pool *Pool
	f    *Flight
	id   galenastair.BackendServerID
	ends time.Time
}

const (
	crowdExchange = 300 * time.Millisecond
	crowdRead     = 100 * time.Millisecond
)

func newCrowd(seed uint64, instances, copies int) *crowd {
	c := &crowd{rng: rand.New(rand.NewPCG(seed, 5)), free: map[galenastair.BackendServerID]time.Time{}, copies: copies}
	for range instances {
		p := New("z", WithRand(c.rng), WithFleet(func() int { return instances }))
		addCopies(p, 0, copies)
		c.pools = append(c.pools, p)
	}
	return c
}

func addCopies(p *Pool, from, to int) {
	for i := from; i < to; i++ {
		p.Set(start, Server{ID: galenastair.BackendServerID("s" + strconv.Itoa(i)), Service: "writer", AvailabilityZone: "z",
			Slots: 64, Born: 1, Beat: 1, Models: []galenastair.EngineModel{{Name: "m"}}})
	}
}

// exchange tells one instance of the others' requests.
func (c *crowd) exchange(now time.Time, p *Pool) {
	loads := map[ServerKey]Load{}
	for _, r := range c.running {
		if r.pool != p {
			l := loads[KeyOf(r.id)]
			loads[KeyOf(r.id)] = Load{l.Flights + 1, l.Unread + 2000}
		}
	}
	p.SetOthers(now, loads)
}

// play sends requests at a part of what the engines can read, and returns the share that waited
// for longer than a while for their first event.
func (c *crowd) play(load float64, over time.Duration) float64 {
	gap := time.Duration(float64(crowdRead) / load / float64(c.copies))
	late, n := 0, 0
	now := start
	next := make([]time.Time, len(c.pools))
	for i := range next {
		next[i] = start.Add(time.Duration(c.rng.Int64N(int64(crowdExchange))))
	}
	for now.Before(start.Add(20 * time.Second)) {
		now = now.Add(time.Duration(c.rng.ExpFloat64() * float64(gap)))
		for i, p := range c.pools {
			if next[i].Before(now) {
				c.exchange(next[i], p)
				next[i] = next[i].Add(crowdExchange)
			}
		}
		c.end(now)
		if c.send(now) > over {
			late++
		}
		n++
	}
	return float64(late) / float64(n)
}

func (c *crowd) end(now time.Time) {
	rest := c.running[:0]
	for _, r := range c.running {
		if r.ends.After(now) {
			rest = append(rest, r)
			continue
		}
		r.f.Started(r.ends)
		r.f.End(r.ends, Succeeded)
	}
	c.running = rest
}

// send has one instance send a request, and returns how long its prompt waits and is read.
func (c *crowd) send(now time.Time) time.Duration {
	p := c.pools[c.rng.IntN(len(c.pools))]
	q := Query{Service: "writer", Aim: 800 * time.Millisecond, Hints: galenastair.Hints{Model: "m", Prompt: 2000, Output: 20}}
	choice, _ := p.Choose(now, q)
	f := p.Begin(now, choice.ID, q)
	begin := c.free[choice.ID]
	if begin.Before(now) {
		begin = now
	}
	c.free[choice.ID] = begin.Add(crowdRead)
	c.running = append(c.running, reading{p, f, choice.ID, c.free[choice.ID]})
	return c.free[choice.ID].Sub(now)
}

// Hundreds of instances all send to the engine that was the least busy a moment ago, whose
// queue then is the longest. Seen failing with 0.083 where all copies are compared.
func TestInstancesDoNotCrowdOneEngine(t *testing.T) {
	is := is.New(t)
	late := 0.0
	for seed := range uint64(3) {
		late += newCrowd(seed, 100, 16).play(0.7, 400*time.Millisecond) / 3
	}
	t.Logf("%.3f late", late)
	is.True(late < 0.05)
}

// An engine had a queue that this instance did not know of. Seconds later it idles, and the
// instance sends behind another's queue all the same, as it learns nothing new of the first.
func TestQueueOfSecondsAgoIsForgotten(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.Remove("s3")
	now := start
	for range 5 {
		f := p.Begin(now, "s1", testQuery())
		now = now.Add(3 * time.Second)
		f.Started(now)
		f.End(now, Succeeded)
	}
	c, _ := p.Choose(now, testQuery())
	is.Equal(c.ID, galenastair.BackendServerID("s2"))
	now = now.Add(10 * time.Second)
	p.SetOthers(now, map[ServerKey]Load{KeyOf("s2"): {Flights: 2, Unread: 4000}})
	c, _ = p.Choose(now, testQuery())
	is.Equal(c.ID, galenastair.BackendServerID("s1"))
}
