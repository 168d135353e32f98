package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"galenastair"
	"galenastair/dispatch"
)

// fleet is one run: entries with the decisions, engines with the cost model.
type fleet struct {
	clock
	site     site
	scenario scenario
	policy   policy
	rng      *rand.Rand
	begin    time.Time
	entries  []*entry
	engines  []*engine
	listed   []dispatch.Server
	loads    *loads
	calls    []*call
	placing  *placing
}

type entry struct {
	decider
	budget  *dispatch.RetryBudget
	calls   map[*dispatch.Ticket]*call
	counted map[galenastair.ModelName]float64
}

func newFleet(s site, sc scenario, p policy, seed uint64) *fleet {
	f := &fleet{
		site: s, scenario: sc, policy: p,
		rng:   rand.New(rand.NewPCG(seed, 13)),
		loads: newLoads(s, sc, seed),
	}
	f.now = time.Unix(1_000_000, 0)
	f.begin = f.now.Add(warmUp)
	for i := range s.engines {
		f.engines = append(f.engines, &engine{
			id:       galenastair.BackendServerID(fmt.Sprintf("e%d", i)),
			zone:     galenastair.AvailabilityZone(fmt.Sprintf("z%d", i%s.zones)),
			slowness: 1,
			cache:    map[uint64]int{},
		})
	}
	for i := range s.entries {
		f.entries = append(f.entries, &entry{
			decider: p.decider(seed + uint64(i)),
			budget:  dispatch.NewRetryBudget(),
			calls:   map[*dispatch.Ticket]*call{},
			counted: map[galenastair.ModelName]float64{},
		})
	}
	f.placing = newPlacing(f)
	return f
}

// tick is how far ahead calls are drawn.
const tick = 100 * time.Millisecond

func (f *fleet) run() []*call {
	f.list()
	f.every(reportPeriod, f.reports)
	f.every(time.Second, f.list)
	f.every(planPeriod, f.placing.plan)
	f.every(demandPeriod, f.placing.observe)
	for at := time.Duration(0); at < warmUp; at += tick {
		f.at(f.now.Add(at), func() {})
	}
	f.at(f.begin.Add(-warmUp/3), func() { f.arrivals(-warmUp / 3) })
	f.disturb()
	end := f.begin.Add(f.scenario.span)
	f.clock.run(end.Add(patience))
	return f.calls
}

// arrivals draws calls; those before the beginning warm up the forecast and caches.
func (f *fleet) arrivals(at time.Duration) {
	if at >= f.scenario.span {
		return
	}
	for _, c := range f.loads.next(f.begin, max(at, 0), tick) {
		if at < 0 {
			c.arrived = f.now
			f.at(c.arrived, func() { f.submit(c, nil) })
			continue
		}
		if !c.within && !f.scenario.unlimited {
			continue // the limiter refuses it before any decision here
		}
		f.calls = append(f.calls, c)
		f.at(c.arrived, func() { f.submit(c, nil) })
	}
	f.after(tick, func() { f.arrivals(at + tick) })
}

func (f *fleet) submit(c *call, exclude []galenastair.BackendServerID) {
	e := f.entries[c.entry]
	r := dispatch.Request{
		Organisation: galenastair.Organisation(fmt.Sprint("o", c.organisation)),
		Weight:       galenastair.TokensPerSecond(f.loads.rate(c.organisation)),
		Model:        c.model,
		PromptTokens: galenastair.Tokens(c.prompt),
		OutputTokens: galenastair.Tokens(c.permitted),
		PrefixHashes: c.prefix,
		Deadline:     c.arrived.Add(patience),
		Exclude:      exclude,
	}
	if f.policy.oneFlow {
		r.Organisation, r.Weight = "all", 1000
	}
	if exclude == nil {
		e.budget.Earn()
	}
	t := e.Submit(f.now, r)
	e.calls[t] = c
	f.poll(e)
	if _, waits := e.calls[t]; waits && c.firstToken.IsZero() {
		f.after(patience+time.Millisecond, func() {
			e.Expire(f.now, c.model)
			f.poll(e)
		})
	}
}

func (f *fleet) poll(e *entry) {
	for _, d := range e.Poll() {
		c := e.calls[d.Ticket]
		if d.Err != nil {
			c.refused = true
			delete(e.calls, d.Ticket)
			continue
		}
		f.send(e, c, d)
	}
}

func (f *fleet) send(e *entry, c *call, d dispatch.Decision) {
	en := f.engine(d.Choice.Server)
	s := &sequence{call: c, priority: d.Choice.Priority}
	s.first = func() {
		c.firstToken = f.now
		e.FirstToken(f.now, d.Ticket)
	}
	s.done = func(ok bool) {
		delete(e.calls, d.Ticket)
		e.Done(f.now, d.Ticket, dispatch.Result{OutputTokens: galenastair.Tokens(s.written), Failed: !ok})
		if ok {
			c.finished = f.now
		} else {
			f.retry(e, c, en.id)
		}
		f.poll(e)
	}
	if en.dead || !en.ready(c.model) {
		f.after(time.Millisecond, func() { s.done(false) })
		return
	}
	en.add(s)
	f.step(en)
}

// retry tries a failed request once more elsewhere, within the budget.
func (f *fleet) retry(e *entry, c *call, failed galenastair.BackendServerID) {
	c.attempts++
	if c.attempts > 1 || !c.firstToken.IsZero() || !e.budget.Spend() {
		c.refused = true
		return
	}
	f.submit(c, []galenastair.BackendServerID{failed})
}

func (f *fleet) engine(id galenastair.BackendServerID) *engine {
	for _, en := range f.engines {
		if en.id == id {
			return en
		}
	}
	return nil
}

// step lets an engine work until it has nothing left to do.
func (f *fleet) step(en *engine) {
	if en.stepping {
		return
	}
	took := en.step()
	if took == 0 {
		return
	}
	en.stepping = true
	f.after(took, func() {
		en.stepping = false
		first, done := en.finish()
		for _, s := range first {
			s.first()
		}
		for _, s := range done {
			s.done(true)
		}
		f.step(en)
	})
}

func (f *fleet) reports() {
	for _, en := range f.engines {
		if en.dead {
			continue
		}
		r := en.report()
		f.after(reportLag, func() {
			for _, e := range f.entries {
				e.ApplyReport(f.now, r)
				f.poll(e)
			}
		})
		events := en.events
		en.events = nil
		for _, e := range f.entries {
			var kept []galenastair.CacheEvent
			for _, ev := range events {
				if f.rng.Float64() >= eventLoss {
					kept = append(kept, ev)
				}
			}
			f.after(eventLag, func() { e.CacheEvents(en.id, kept) })
		}
	}
}

// list lets the entries see the platform's list, some seconds late.
func (f *fleet) list() {
	var servers []dispatch.Server
	for _, en := range f.engines {
		if !en.dead {
			servers = append(servers, dispatch.Server{ID: en.id, AvailabilityZone: en.zone})
		}
	}
	lag := listLag
	if f.listed == nil {
		lag = 0
	}
	f.after(lag, func() {
		f.listed = servers
		for _, e := range f.entries {
			e.SetServers(f.now, servers)
		}
	})
}

func (f *fleet) disturb() {
	if f.scenario.slow {
		f.at(f.begin.Add(disturbedFrom), func() { f.engines[2].slowness = 5 })
		f.at(f.begin.Add(disturbedTo), func() { f.engines[2].slowness = 1 })
	}
	if f.scenario.dies {
		f.at(f.begin.Add(disturbedFrom), func() {
			for _, s := range f.engines[2].fail() {
				s.done(false)
			}
		})
	}
}
