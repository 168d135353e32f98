package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"galenastair"
	"galenastair/dispatch"
)

// policy is what is measured: ours, or a baseline.
type policy struct {
	name string
	// plain sends at once to what next picks, without a queue at the entries.
	plain func(r *plain, copies []galenastair.BackendServerID) int
	// oneFlow gives the fair queue all requests as if one organisation sent them.
	oneFlow bool
	// window bounds what a plain entry has in flight at a backend server; the rest
	// waits in one queue in order of arrival. Zero sends all at once.
	window int
	// static keeps the placement of the beginning.
	static bool
	// eager places without hysteresis.
	eager bool
}

func policies() []policy {
	return []policy{
		{name: "ours"},
		{name: "first come", plain: leastInFlight, window: plainWindow},
		{name: "round robin", plain: roundRobin},
		{name: "static placement", static: true},
		{name: "all three plain", plain: roundRobin, window: plainWindow, static: true},
		{name: "one flow for all", oneFlow: true},
		{name: "no hysteresis", eager: true},
		{name: "version 606034a", plain: leastInFlight, static: true},
	}
}

// plainWindow lets six entries fill a batch together.
const plainWindow = 6

// decider is what an entry asks; dispatch.Core is one.
type decider interface {
	Submit(now time.Time, r dispatch.Request) *dispatch.Ticket
	Expire(now time.Time, m galenastair.ModelName)
	FirstToken(now time.Time, t *dispatch.Ticket)
	Done(now time.Time, t *dispatch.Ticket, res dispatch.Result)
	SetServers(now time.Time, list []dispatch.Server)
	ApplyReport(now time.Time, r galenastair.EngineReport)
	CacheEvents(id galenastair.BackendServerID, events []galenastair.CacheEvent)
	Poll() []dispatch.Decision
	Demand() []dispatch.Demand
}

func (p policy) decider(seed uint64) decider {
	rng := rand.New(rand.NewPCG(seed, 11))
	if p.plain != nil {
		return newPlain(p)
	}
	return dispatch.NewScheduler(rng)
}

// plain is a router without queue, health or affinity.
type plain struct {
	policy   policy
	list     []dispatch.Server
	ready    map[galenastair.BackendServerID]galenastair.EngineReport
	inFlight map[galenastair.BackendServerID]int
	sent     map[*dispatch.Ticket]galenastair.BackendServerID
	turn     map[galenastair.ModelName]int
	model    galenastair.ModelName
	waiting  []*dispatch.Ticket
	demand   map[galenastair.ModelName]*dispatch.Demand
	out      []dispatch.Decision
}

func newPlain(p policy) *plain {
	return &plain{
		policy:   p,
		ready:    map[galenastair.BackendServerID]galenastair.EngineReport{},
		inFlight: map[galenastair.BackendServerID]int{},
		sent:     map[*dispatch.Ticket]galenastair.BackendServerID{},
		turn:     map[galenastair.ModelName]int{},
		demand:   map[galenastair.ModelName]*dispatch.Demand{},
	}
}

func roundRobin(r *plain, copies []galenastair.BackendServerID) int {
	r.turn[r.model]++
	return r.turn[r.model] % len(copies)
}

func leastInFlight(r *plain, copies []galenastair.BackendServerID) int {
	best := 0
	for i, id := range copies {
		if r.inFlight[id] < r.inFlight[copies[best]] {
			best = i
		}
	}
	return best
}

func (r *plain) Submit(_ time.Time, req dispatch.Request) *dispatch.Ticket {
	t := &dispatch.Ticket{Request: req}
	d := r.demand[req.Model]
	if d == nil {
		d = &dispatch.Demand{Model: req.Model}
		r.demand[req.Model] = d
	}
	d.Work += 0.1*float64(req.PromptTokens) + float64(req.OutputTokens)
	if !r.known(req) {
		r.out = append(r.out, dispatch.Decision{Ticket: t, Err: galenastair.Refuse(galenastair.ErrNoBackendServer, time.Second, "")})
		return t
	}
	if !r.send(t) {
		r.waiting = append(r.waiting, t)
	}
	return t
}

func (r *plain) known(req dispatch.Request) bool { return len(r.copies(req, 1<<30)) > 0 }

// copies returns the backend servers with a ready copy and fewer than most in flight.
func (r *plain) copies(req dispatch.Request, most int) []galenastair.BackendServerID {
	var out []galenastair.BackendServerID
	for _, s := range r.list {
		if r.inFlight[s.ID] >= most || !has(r.ready[s.ID], req.Model) {
			continue
		}
		if len(req.Exclude) == 0 || req.Exclude[0] != s.ID {
			out = append(out, s.ID)
		}
	}
	return out
}

func (r *plain) send(t *dispatch.Ticket) bool {
	most := r.policy.window
	if most == 0 {
		most = 1 << 30
	}
	copies := r.copies(t.Request, most)
	if len(copies) == 0 {
		return false
	}
	r.model = t.Request.Model
	id := copies[r.policy.plain(r, copies)]
	r.inFlight[id]++
	r.sent[t] = id
	dec := dispatch.Decision{Ticket: t}
	dec.Choice.Server = id
	r.out = append(r.out, dec)
	return true
}

func has(r galenastair.EngineReport, m galenastair.ModelName) bool {
	for _, l := range r.Loaded {
		if l.Weight.Name == m && l.State == galenastair.Ready {
			return true
		}
	}
	return false
}

func (r *plain) FirstToken(time.Time, *dispatch.Ticket)                            {}
func (r *plain) SetServers(_ time.Time, l []dispatch.Server)                       { r.list = l }
func (r *plain) ApplyReport(_ time.Time, e galenastair.EngineReport)               { r.ready[e.BackendServer] = e }
func (r *plain) CacheEvents(galenastair.BackendServerID, []galenastair.CacheEvent) {}

func (r *plain) Done(_ time.Time, t *dispatch.Ticket, _ dispatch.Result) {
	r.inFlight[r.sent[t]]--
	delete(r.sent, t)
	r.waiting = slices.DeleteFunc(r.waiting, r.send)
}

func (r *plain) Expire(now time.Time, _ galenastair.ModelName) {
	r.waiting = slices.DeleteFunc(r.waiting, func(t *dispatch.Ticket) bool {
		if now.Before(t.Request.Deadline) {
			return false
		}
		r.out = append(r.out, dispatch.Decision{Ticket: t, Err: galenastair.Refuse(galenastair.ErrOverloaded, time.Second, "")})
		return true
	})
}

func (r *plain) Poll() []dispatch.Decision {
	out := r.out
	r.out = nil
	return out
}

func (r *plain) Demand() []dispatch.Demand {
	var out []dispatch.Demand
	for _, d := range r.demand {
		out = append(out, *d)
	}
	return out
}
