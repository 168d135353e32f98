package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"galenastair"
	"galenastair/dispatch"
)

// fleet is the simulated system of one run: entries that run the schedulers under test,
// engines with the cost model, and the leader.
type fleet struct {
	clock
	site          site
	scenario      scenario
	policy        policy
	rng           *rand.Rand
	start         time.Time
	entries       []*entry
	engines       []*engine
	listedServers []dispatch.Server
	generator     *loadGenerator
	calls         []*call
	leader        *leader
}

type entry struct {
	scheduler
	budget       *dispatch.RetryBudget
	calls        map[*dispatch.Ticket]*call
	observedWork map[galenastair.ModelName]float64
}

func newFleet(s site, sc scenario, p policy, seed uint64) *fleet {
	f := &fleet{
		site: s, scenario: sc, policy: p,
		rng:       rand.New(rand.NewPCG(seed, 13)),
		generator: newLoadGenerator(s, sc, seed),
	}
	f.now = time.Unix(1_000_000, 0)
	f.start = f.now.Add(warmUp)
	for i := range s.engines {
		f.engines = append(f.engines, &engine{
			id:       galenastair.BackendServerID(fmt.Sprintf("e%d", i)),
			zone:     galenastair.AvailabilityZone(fmt.Sprintf("z%d", i%s.zones)),
			slowdown: 1,
			cache:    map[uint64]int{},
		})
	}
	for i := range s.entries {
		f.entries = append(f.entries, &entry{
			scheduler:    p.newScheduler(seed + uint64(i)),
			budget:       dispatch.NewRetryBudget(),
			calls:        map[*dispatch.Ticket]*call{},
			observedWork: map[galenastair.ModelName]float64{},
		})
	}
	f.leader = newLeader(f)
	return f
}

// tick is the interval at which calls are generated.
const tick = 100 * time.Millisecond

func (f *fleet) run() []*call {
	f.updateServers()
	f.every(reportPeriod, f.sendReports)
	f.every(time.Second, f.updateServers)
	f.every(planPeriod, f.leader.plan)
	f.every(demandPeriod, f.leader.observeDemand)
	for at := time.Duration(0); at < warmUp; at += tick {
		f.at(f.now.Add(at), func() {})
	}
	f.at(f.start.Add(-warmUp/3), func() { f.arrivals(-warmUp / 3) })
	f.scheduleFaults()
	end := f.start.Add(f.scenario.duration)
	f.clock.run(end.Add(requestTimeout))
	return f.calls
}

// arrivals generates the calls of each tick until the scenario ends. Calls before the
// start warm up the forecast and the caches, and are not counted.
func (f *fleet) arrivals(at time.Duration) {
	if at >= f.scenario.duration {
		return
	}
	for _, c := range f.generator.next(f.start, max(at, 0), tick) {
		if at < 0 {
			c.arrived = f.now
			f.at(c.arrived, func() { f.submit(c, nil) })
			continue
		}
		if !c.withinRate && !f.scenario.noRateLimit {
			continue // the rate limiter refuses it before it reaches the scheduler
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
		Weight:       galenastair.TokensPerSecond(f.generator.rate(c.organisation)),
		Model:        c.model,
		PromptTokens: galenastair.Tokens(c.prompt),
		OutputTokens: galenastair.Tokens(c.maxTokens),
		PrefixHashes: c.prefix,
		Deadline:     c.arrived.Add(requestTimeout),
		Exclude:      exclude,
	}
	if f.policy.singleFlow {
		r.Organisation, r.Weight = "all", 1000
	}
	if exclude == nil {
		e.budget.Earn()
	}
	t := e.Submit(f.now, r)
	e.calls[t] = c
	f.poll(e)
	if _, waits := e.calls[t]; waits && c.firstToken.IsZero() {
		f.after(requestTimeout+time.Millisecond, func() {
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
	s.onFirstToken = func() {
		c.firstToken = f.now
		e.FirstToken(f.now, d.Ticket)
	}
	s.onDone = func(ok bool) {
		delete(e.calls, d.Ticket)
		e.Done(f.now, d.Ticket, dispatch.Result{OutputTokens: galenastair.Tokens(s.outputTokens), Failed: !ok})
		if ok {
			c.finished = f.now
		} else {
			f.retry(e, c, en.id)
		}
		f.poll(e)
	}
	if en.failed || !en.ready(c.model) {
		f.after(time.Millisecond, func() { s.onDone(false) })
		return
	}
	en.add(s)
	f.runEngine(en)
}

// retry sends a failed request to another engine once, if the retry budget permits.
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

// runEngine runs the steps of an engine until it has no work left.
func (f *fleet) runEngine(en *engine) {
	if en.inStep {
		return
	}
	took := en.startStep()
	if took == 0 {
		return
	}
	en.inStep = true
	f.after(took, func() {
		en.inStep = false
		first, done := en.finishStep()
		for _, s := range first {
			s.onFirstToken()
		}
		for _, s := range done {
			s.onDone(true)
		}
		f.runEngine(en)
	})
}

func (f *fleet) sendReports() {
	for _, en := range f.engines {
		if en.failed {
			continue
		}
		r := en.report()
		f.after(reportLag, func() {
			for _, e := range f.entries {
				e.ApplyReport(f.now, r)
				f.poll(e)
			}
		})
		events := en.cacheEvents
		en.cacheEvents = nil
		for _, e := range f.entries {
			var kept []galenastair.CacheEvent
			for _, ev := range events {
				if f.rng.Float64() >= cacheEventLoss {
					kept = append(kept, ev)
				}
			}
			f.after(cacheEventLag, func() { e.ApplyCacheEvents(en.id, kept) })
		}
	}
}

// updateServers passes the current list of engines to the entries after serverListLag.
// The first list arrives at once.
func (f *fleet) updateServers() {
	var servers []dispatch.Server
	for _, en := range f.engines {
		if !en.failed {
			servers = append(servers, dispatch.Server{ID: en.id, AvailabilityZone: en.zone})
		}
	}
	lag := serverListLag
	if f.listedServers == nil {
		lag = 0
	}
	f.after(lag, func() {
		f.listedServers = servers
		for _, e := range f.entries {
			e.SetServers(f.now, servers)
		}
	})
}

func (f *fleet) scheduleFaults() {
	if f.scenario.slowEngine {
		f.at(f.start.Add(faultStart), func() { f.engines[2].slowdown = 5 })
		f.at(f.start.Add(faultEnd), func() { f.engines[2].slowdown = 1 })
	}
	if f.scenario.failingEngine {
		f.at(f.start.Add(faultStart), func() {
			for _, s := range f.engines[2].fail() {
				s.onDone(false)
			}
		})
	}
}
