package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"galenastair"
	"galenastair/dispatch"
)

// policy is a combination of scheduling and placement: ours, a baseline, or ours with one
// part removed.
type policy struct {
	name string
	// pick selects the engine of a request in baselineScheduler, which replaces the
	// fair queue; if nil, dispatch.Scheduler is used.
	pick func(r *baselineScheduler, copies []galenastair.BackendServerID) int
	// singleFlow makes the fair queue treat all requests as those of one organisation.
	singleFlow bool
	// maxInFlight is the maximum number of requests that a baselineScheduler has in
	// flight on one backend server. Requests beyond it wait in a single first-come
	// queue. Zero sends all requests immediately.
	maxInFlight int
	// staticPlacement keeps the placement that the warm-up ends with.
	staticPlacement bool
	// noHysteresis removes the thresholds and minimum times that limit moves.
	noHysteresis bool
}

func policies() []policy {
	return []policy{
		{name: "ours"},
		{name: "first come", pick: pickLeastInFlight, maxInFlight: baselineMaxInFlight},
		{name: "round robin", pick: pickRoundRobin},
		{name: "static placement", staticPlacement: true},
		{name: "all three plain", pick: pickRoundRobin, maxInFlight: baselineMaxInFlight, staticPlacement: true},
		{name: "one flow for all", singleFlow: true},
		{name: "no hysteresis", noHysteresis: true},
		{name: "version 606034a", pick: pickLeastInFlight, staticPlacement: true},
	}
}

// baselineMaxInFlight lets six entries together fill a batch of 32.
const baselineMaxInFlight = 6

// scheduler assigns the requests of an entry to backend servers; it is implemented by
// dispatch.Scheduler.
type scheduler interface {
	Submit(now time.Time, r dispatch.Request) *dispatch.Ticket
	Expire(now time.Time, m galenastair.ModelName)
	FirstToken(now time.Time, t *dispatch.Ticket)
	Done(now time.Time, t *dispatch.Ticket, res dispatch.Result)
	SetServers(now time.Time, list []dispatch.Server)
	ApplyReport(now time.Time, r galenastair.EngineReport)
	ApplyCacheEvents(id galenastair.BackendServerID, events []galenastair.CacheEvent)
	Poll() []dispatch.Decision
	Demand() []dispatch.Demand
}

func (p policy) newScheduler(seed uint64) scheduler {
	rng := rand.New(rand.NewPCG(seed, 11))
	if p.pick != nil {
		return newBaselineScheduler(p)
	}
	return dispatch.NewScheduler(rng)
}

// baselineScheduler is a scheduler without fair queueing, health checks or prefix affinity.
type baselineScheduler struct {
	policy    policy
	servers   []dispatch.Server
	reports   map[galenastair.BackendServerID]galenastair.EngineReport
	inFlight  map[galenastair.BackendServerID]int
	sentTo    map[*dispatch.Ticket]galenastair.BackendServerID
	nextIndex map[galenastair.ModelName]int
	model     galenastair.ModelName
	waiting   []*dispatch.Ticket
	demand    map[galenastair.ModelName]*dispatch.Demand
	decisions []dispatch.Decision
}

func newBaselineScheduler(p policy) *baselineScheduler {
	return &baselineScheduler{
		policy:    p,
		reports:   map[galenastair.BackendServerID]galenastair.EngineReport{},
		inFlight:  map[galenastair.BackendServerID]int{},
		sentTo:    map[*dispatch.Ticket]galenastair.BackendServerID{},
		nextIndex: map[galenastair.ModelName]int{},
		demand:    map[galenastair.ModelName]*dispatch.Demand{},
	}
}

func pickRoundRobin(r *baselineScheduler, copies []galenastair.BackendServerID) int {
	r.nextIndex[r.model]++
	return r.nextIndex[r.model] % len(copies)
}

func pickLeastInFlight(r *baselineScheduler, copies []galenastair.BackendServerID) int {
	best := 0
	for i, id := range copies {
		if r.inFlight[id] < r.inFlight[copies[best]] {
			best = i
		}
	}
	return best
}

func (r *baselineScheduler) Submit(_ time.Time, req dispatch.Request) *dispatch.Ticket {
	t := &dispatch.Ticket{Request: req}
	d := r.demand[req.Model]
	if d == nil {
		d = &dispatch.Demand{Model: req.Model}
		r.demand[req.Model] = d
	}
	d.Work += 0.1*float64(req.PromptTokens) + float64(req.OutputTokens)
	if !r.hasCopy(req) {
		r.decisions = append(r.decisions, dispatch.Decision{Ticket: t, Err: galenastair.NewRefusal(galenastair.ErrNoBackendServer, time.Second, "")})
		return t
	}
	if !r.send(t) {
		r.waiting = append(r.waiting, t)
	}
	return t
}

func (r *baselineScheduler) hasCopy(req dispatch.Request) bool { return len(r.copies(req, 1<<30)) > 0 }

// copies returns the backend servers that have a ready copy of the model and fewer than
// limit requests in flight, except the one that the request excludes.
func (r *baselineScheduler) copies(req dispatch.Request, limit int) []galenastair.BackendServerID {
	var out []galenastair.BackendServerID
	for _, s := range r.servers {
		if r.inFlight[s.ID] >= limit || !hasReadyCopy(r.reports[s.ID], req.Model) {
			continue
		}
		if len(req.Exclude) == 0 || req.Exclude[0] != s.ID {
			out = append(out, s.ID)
		}
	}
	return out
}

func (r *baselineScheduler) send(t *dispatch.Ticket) bool {
	limit := r.policy.maxInFlight
	if limit == 0 {
		limit = 1 << 30
	}
	copies := r.copies(t.Request, limit)
	if len(copies) == 0 {
		return false
	}
	r.model = t.Request.Model
	id := copies[r.policy.pick(r, copies)]
	r.inFlight[id]++
	r.sentTo[t] = id
	dec := dispatch.Decision{Ticket: t}
	dec.Choice.Server = id
	r.decisions = append(r.decisions, dec)
	return true
}

func hasReadyCopy(r galenastair.EngineReport, m galenastair.ModelName) bool {
	for _, l := range r.Loaded {
		if l.Weight.Name == m && l.State == galenastair.LoadStateReady {
			return true
		}
	}
	return false
}

func (r *baselineScheduler) FirstToken(time.Time, *dispatch.Ticket)      {}
func (r *baselineScheduler) SetServers(_ time.Time, l []dispatch.Server) { r.servers = l }
func (r *baselineScheduler) ApplyReport(_ time.Time, e galenastair.EngineReport) {
	r.reports[e.BackendServer] = e
}
func (r *baselineScheduler) ApplyCacheEvents(galenastair.BackendServerID, []galenastair.CacheEvent) {}

func (r *baselineScheduler) Done(_ time.Time, t *dispatch.Ticket, _ dispatch.Result) {
	r.inFlight[r.sentTo[t]]--
	delete(r.sentTo, t)
	r.waiting = slices.DeleteFunc(r.waiting, r.send)
}

func (r *baselineScheduler) Expire(now time.Time, _ galenastair.ModelName) {
	r.waiting = slices.DeleteFunc(r.waiting, func(t *dispatch.Ticket) bool {
		if now.Before(t.Request.Deadline) {
			return false
		}
		r.decisions = append(r.decisions, dispatch.Decision{Ticket: t, Err: galenastair.NewRefusal(galenastair.ErrOverloaded, time.Second, "")})
		return true
	})
}

func (r *baselineScheduler) Poll() []dispatch.Decision {
	out := r.decisions
	r.decisions = nil
	return out
}

func (r *baselineScheduler) Demand() []dispatch.Demand {
	var out []dispatch.Demand
	for _, d := range r.demand {
		out = append(out, *d)
	}
	return out
}
