package admission

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"galenastair"
	"galenastair/claim"
	"galenastair/pool"
)

// modelKind is one kind of request of the model's callers.
type modelKind struct {
	name         string
	prompt       galenastair.Tokens
	output       galenastair.Tokens
	target       time.Duration
	deadline     time.Duration
	priority     int
	urgentTarget time.Duration
	urgentLevels int
	onTimeWorth  float64
	lateWorth    float64
	// load is the work of the kind as a multiple of what the engines can do.
	load float64
}

// modelKinds are requests of three priorities that together need twice the capacity of the engines.
func modelKinds() []modelKind {
	return []modelKind{
		{name: "urgent", prompt: 1460, output: 86, target: 500 * time.Millisecond, deadline: 15 * time.Second, onTimeWorth: 5.3, lateWorth: 0.62, load: 0.3},
		{name: "short", prompt: 2368, output: 11, target: 800 * time.Millisecond, deadline: 5 * time.Second, priority: 1,
			urgentTarget: 500 * time.Millisecond, urgentLevels: 1, onTimeWorth: 1.1, lateWorth: 0.33, load: 1.4},
		{name: "patient", prompt: 2368, output: 11, target: 10 * time.Second, deadline: 15 * time.Second, priority: 2,
			urgentTarget: 500 * time.Millisecond, urgentLevels: 2, onTimeWorth: 1.1, lateWorth: 0.49, load: 0.3},
	}
}

const (
	modelInstances = 71
	modelEngines   = 12
	modelSlots     = 64
	// modelReadRate is in prompt tokens per second.
	modelReadRate = 19200
	modelExchange = 300 * time.Millisecond
	modelDuration = 20 * time.Second
	modelService  = galenastair.ServiceName("writer")
	modelName     = galenastair.ModelName("m")
)

// variant is how the instances of the model treat less urgent requests.
type variant int

const (
	deadlineOnly variant = iota
	yieldOnly
	yieldAndShed
)

// model simulates instances, engines and callers in virtual time.
type model struct {
	rng       *rand.Rand
	variant   variant
	now       time.Time
	events    eventHeap
	instances []*modelInstance
	engines   []*modelEngine
	requests  []*modelRequest
	// exchanges reports whether the instances learn each other's loads at the moment.
	exchanges func(now time.Time) bool
	// sticky is set if callers retry at the instance that refused their request.
	sticky    bool
	decisions int
}

type modelInstance struct {
	pool    *pool.Pool
	control *Controller
	// reports holds the last two reports of this instance's load. Others see the older one.
	reports [2]map[galenastair.BackendServerID]pool.Load
	// loadsAt is when the instance last received the loads of the others.
	loadsAt time.Time
	waiting []*modelRequest
}

type modelRequest struct {
	kind     *modelKind
	arrived  time.Time
	attempts int
	refusals int
	ticket   *Ticket
	// stepID is the number of the scheduled evaluation; older ones are void.
	stepID    int
	firstAt   time.Time
	impatient bool
	digest    claim.Digest
}

func (r *modelRequest) deadline() time.Time { return r.arrived.Add(r.kind.deadline) }

func (r *modelRequest) onTime() bool {
	return !r.firstAt.IsZero() && r.firstAt.Sub(r.arrived) <= r.kind.target
}

func (r *modelRequest) worth() float64 {
	switch {
	case r.onTime():
		return r.kind.onTimeWorth
	case !r.firstAt.IsZero():
		return r.kind.lateWorth
	}
	return 0
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap struct {
	list []event
	seq  int
}

func (h *eventHeap) Len() int { return len(h.list) }
func (h *eventHeap) Less(i, j int) bool {
	if h.list[i].at.Equal(h.list[j].at) {
		return h.list[i].seq < h.list[j].seq
	}
	return h.list[i].at.Before(h.list[j].at)
}
func (h *eventHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *eventHeap) Push(x any)    { h.list = append(h.list, x.(event)) } //nolint:forcetypeassert // heap of events
func (h *eventHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

var modelStart = time.Unix(1e9, 0)

func newModel(seed uint64, v variant) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 3)), variant: v, now: modelStart, exchanges: func(time.Time) bool { return true }}
	for i := range modelEngines {
		m.engines = append(m.engines, &modelEngine{m: m, id: galenastair.BackendServerID("s" + strconv.Itoa(i))})
	}
	zone := func(i int) galenastair.AvailabilityZone { return galenastair.AvailabilityZone("z" + strconv.Itoa(i%3)) }
	for i := range modelInstances {
		in := &modelInstance{
			pool: pool.New(zone(i), pool.WithRand(m.rng), pool.WithFleetSize(func() int { return modelInstances })),
		}
		opts := []Option{WithRand(m.rng)}
		if v == yieldOnly {
			opts = append(opts, WithoutShedding())
		}
		in.control = New(opts...)
		for k, e := range m.engines {
			in.pool.Set(m.now, pool.Server{ID: e.id, Service: modelService, AvailabilityZone: zone(k), Slots: modelSlots,
				Incarnation: 1, Heartbeat: 1, Models: []galenastair.LoadedModel{{Name: modelName}}})
		}
		m.instances = append(m.instances, in)
		m.after(time.Duration(m.rng.Int64N(int64(modelExchange))), func() { m.exchange(in) })
	}
	return m
}

func (m *model) after(d time.Duration, do func()) {
	m.events.seq++
	heap.Push(&m.events, event{m.now.Add(d), m.events.seq, do})
}

// start orders the events that were added before.
func (m *model) start() { heap.Init(&m.events) }

func (m *model) run(until time.Time) {
	for len(m.events.list) > 0 && !m.events.list[0].at.After(until) {
		e := heap.Pop(&m.events).(event) //nolint:forcetypeassert // heap of events
		m.now = e.at
		e.do()
	}
}

// exchange reports the load of an instance and gives it the loads of the others.
func (m *model) exchange(in *modelInstance) {
	m.after(modelExchange, func() { m.exchange(in) })
	if !m.exchanges(m.now) {
		return
	}
	in.reports = [2]map[galenastair.BackendServerID]pool.Load{in.reports[1], in.pool.Loads()}
	loads := map[pool.ServerKey]pool.Load{}
	for _, o := range m.instances {
		if o == in {
			continue
		}
		for id, l := range o.reports[0] {
			sum := loads[pool.KeyOf(id)]
			loads[pool.KeyOf(id)] = pool.Load{InFlight: sum.InFlight + l.InFlight, PendingTokens: sum.PendingTokens + l.PendingTokens}
		}
	}
	in.pool.SetPeerLoads(m.now, loads)
	in.loadsAt = m.now
}

// offer schedules the arrivals of a kind.
func (m *model) offer(k *modelKind, from, until time.Duration) {
	perSecond := k.load * modelEngines * modelReadRate / float64(k.prompt)
	at := from
	for {
		at += time.Duration(m.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= until {
			return
		}
		r := &modelRequest{kind: k, arrived: modelStart.Add(at), impatient: m.rng.Float64() < 0.2, digest: claim.Digest(fmt.Sprint(len(m.requests)))}
		m.requests = append(m.requests, r)
		heap.Push(&m.events, event{r.arrived, len(m.requests), func() { m.attempt(r, m.instances[m.rng.IntN(modelInstances)]) }})
	}
}

func (m *model) attempt(r *modelRequest, in *modelInstance) {
	r.attempts++
	k := r.kind
	r.ticket = in.control.Arrive(m.now, Request{Service: modelService, Model: modelName, Arrived: m.now, Deadline: r.deadline(), TargetLatency: k.target,
		Priority: k.priority, UrgentTarget: k.urgentTarget, UrgentLevels: k.urgentLevels, Organisation: "org", Digest: r.digest})
	m.step(r, in)
}

func (r *modelRequest) query() pool.Query {
	return pool.Query{Service: modelService, RequestHints: galenastair.RequestHints{Model: modelName, PromptTokens: r.kind.prompt, OutputTokens: r.kind.output}, TargetLatency: r.kind.target}
}

// step evaluates a request as gateway.chooseServer does.
func (m *model) step(r *modelRequest, in *modelInstance) {
	r.stepID++
	left := r.deadline().Sub(m.now)
	if left <= 0 {
		m.leave(r, in)
		return
	}
	c, ok := in.pool.Choose(m.now, r.query())
	if !ok {
		m.refused(r, in, 300*time.Millisecond)
		return
	}
	if m.variant != deadlineOnly && c.Reason == pool.ReasonLowestLatency {
		m.decisions++
		forecast := func(c pool.Choice) Forecast {
			return Forecast{PredictedLatency: c.PredictedLatency, QueueTime: c.QueueTime, Server: c.ID, Slots: 1, Instances: modelInstances, Stale: m.now.Sub(in.loadsAt) > 1200*time.Millisecond}
		}
		candidate := c
		if r.ticket.Spread(m.now) {
			q := r.query()
			q.Spread = true
			candidate, _ = in.pool.Choose(m.now, q)
		}
		d := r.ticket.Decide(m.now, forecast(candidate), forecast(c))
		if !d.Best {
			c = candidate
		}
		defer m.wake(in)
		switch d.Action {
		case Wait:
			in.wait(r)
			id := r.stepID
			m.after(d.Recheck, func() {
				if r.stepID == id {
					m.step(r, in)
				}
			})
			return
		case Refuse:
			m.refused(r, in, d.RetryAfter)
			return
		}
	}
	in.leave(r)
	if c.PredictedLatency >= left {
		m.refused(r, in, min(c.PredictedLatency-left/2, left/3))
		return
	}
	m.send(r, in, c)
}

func (m *model) wake(in *modelInstance) {
	for _, r := range in.waiting {
		select {
		case <-r.ticket.Wake():
			r.stepID++
			m.after(0, func() { m.step(r, in) })
		default:
		}
	}
}

func (in *modelInstance) wait(r *modelRequest) {
	if !slices.Contains(in.waiting, r) {
		in.waiting = append(in.waiting, r)
	}
}

func (in *modelInstance) leave(r *modelRequest) {
	in.waiting = slices.DeleteFunc(in.waiting, func(o *modelRequest) bool { return o == r })
}

func (m *model) leave(r *modelRequest, in *modelInstance) {
	in.leave(r)
	r.ticket.Leave()
}

// refused has the caller retry once, at any instance. Some callers retry at once.
func (m *model) refused(r *modelRequest, in *modelInstance, retryAfter time.Duration) {
	m.leave(r, in)
	r.refusals++
	if r.attempts >= 2 {
		return
	}
	if r.impatient || retryAfter == 0 {
		retryAfter = 5 * time.Millisecond
	}
	m.after(min(retryAfter, r.deadline().Sub(m.now)/3), func() {
		if !m.sticky {
			in = m.instances[m.rng.IntN(modelInstances)]
		}
		m.attempt(r, in)
	})
}

func (m *model) send(r *modelRequest, in *modelInstance, c pool.Choice) {
	a := in.pool.Begin(m.now, c.ID, r.query())
	i := slices.IndexFunc(m.engines, func(e *modelEngine) bool { return e.id == c.ID })
	e := m.engines[i]
	e.queue = append(e.queue, &modelPrompt{r: r, in: in, attempt: a})
	e.read()
}

// modelEngine reads prompts one after the other and runs those that are read in one batch.
type modelEngine struct {
	m       *model
	id      galenastair.BackendServerID
	queue   []*modelPrompt
	reading bool
	running int
}

type modelPrompt struct {
	r       *modelRequest
	in      *modelInstance
	attempt *pool.Attempt
}

func (e *modelEngine) step() time.Duration {
	return 10500*time.Microsecond + time.Duration(e.running)*400*time.Microsecond
}

// read reads the next prompt whose caller still waits.
func (e *modelEngine) read() {
	for !e.reading && len(e.queue) > 0 && e.running < modelSlots {
		p := e.queue[0]
		e.queue = e.queue[1:]
		if !e.m.now.Before(p.r.deadline()) {
			p.attempt.End(e.m.now, pool.Neutral)
			continue
		}
		e.reading = true
		e.running++
		e.m.after(time.Duration(float64(p.r.kind.prompt)/modelReadRate*float64(time.Second)), func() {
			e.reading = false
			e.m.after(e.step(), func() { p.first(e.m.now) })
			e.m.after(time.Duration(p.r.kind.output)*e.step(), func() {
				e.running--
				p.attempt.End(e.m.now, pool.Succeeded)
				p.in.control.Ended(modelService, modelName)
				e.m.wake(p.in)
				e.read()
			})
			e.read()
		})
	}
}

func (p *modelPrompt) first(now time.Time) {
	p.attempt.Started(now)
	if now.Before(p.r.deadline()) {
		p.r.firstAt = now
	}
}

// omniscient serves the same requests in an order that knows all engines and requests: by priority,
// requests that would be on time first.
func omniscient(requests []*modelRequest) []*modelRequest {
	out := make([]*modelRequest, len(requests))
	for i, r := range requests {
		out[i] = &modelRequest{kind: r.kind, arrived: r.arrived}
	}
	pending := slices.Clone(out)
	slices.SortFunc(pending, func(a, b *modelRequest) int { return a.arrived.Compare(b.arrived) })
	free := make([]time.Time, modelEngines)
	var waiting []*modelRequest
	next := 0
	for next < len(pending) || len(waiting) > 0 {
		e := 0
		for i := range free {
			if free[i].Before(free[e]) {
				e = i
			}
		}
		if len(waiting) == 0 && free[e].Before(pending[next].arrived) {
			free[e] = pending[next].arrived
		}
		now := free[e]
		for next < len(pending) && !pending[next].arrived.After(now) {
			waiting = append(waiting, pending[next])
			next++
		}
		finish := func(r *modelRequest) time.Time {
			return now.Add(time.Duration(float64(r.kind.prompt)/modelReadRate*float64(time.Second)) + 20*time.Millisecond)
		}
		waiting = slices.DeleteFunc(waiting, func(r *modelRequest) bool { return !finish(r).Before(r.deadline()) })
		if len(waiting) == 0 {
			if next == len(pending) {
				break
			}
			continue
		}
		late := func(r *modelRequest) int {
			if finish(r).Sub(r.arrived) > r.kind.target {
				return 1
			}
			return 0
		}
		best := slices.MinFunc(waiting, func(a, b *modelRequest) int {
			return cmp.Or(cmp.Compare(late(a), late(b)), cmp.Compare(a.kind.priority, b.kind.priority), a.arrived.Compare(b.arrived))
		})
		waiting = slices.DeleteFunc(waiting, func(r *modelRequest) bool { return r == best })
		best.firstAt = finish(best)
		free[e] = best.firstAt.Add(-20 * time.Millisecond)
	}
	return out
}

// outcome summarises what callers got.
type outcome struct {
	// onTime and served are fractions by kind.
	onTime, served map[string]float64
	worth          float64
	refusedTwice   float64
}

func summarise(requests []*modelRequest, settle time.Duration) outcome {
	o := outcome{onTime: map[string]float64{}, served: map[string]float64{}}
	n := map[string]float64{}
	for _, r := range requests {
		if r.arrived.Before(modelStart.Add(settle)) {
			continue
		}
		n[r.kind.name]++
		if r.onTime() {
			o.onTime[r.kind.name]++
		}
		if !r.firstAt.IsZero() {
			o.served[r.kind.name]++
		}
		if r.refusals > 1 {
			o.refusedTwice++
		}
		o.worth += r.worth()
	}
	total := 0.0
	for k, c := range n {
		o.onTime[k] /= c
		o.served[k] /= c
		total += c
	}
	o.refusedTwice /= total
	return o
}

func (o outcome) String() string {
	return fmt.Sprintf("worth %.0f, refused twice %.3f, on time %.3f, served %.3f", o.worth, o.refusedTwice, fractions(o.onTime), fractions(o.served))
}

func fractions(m map[string]float64) []float64 {
	return []float64{m["urgent"], m["short"], m["patient"]}
}

// runModel simulates a load that is scale times twice the capacity.
func runModel(seed uint64, v variant, scale float64) *model {
	m := newModel(seed, v)
	for _, k := range modelKinds() {
		k.load *= scale
		m.offer(&k, 0, modelDuration)
	}
	m.start()
	m.run(modelStart.Add(modelDuration + 15*time.Second))
	return m
}
