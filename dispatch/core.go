package dispatch

import (
	"math/rand/v2"
	"time"

	"galenastair"
	"galenastair/queue"
	"galenastair/route"
)

// maxQueuedRequests bounds the waiting requests of an instance over all models. Each holds
// a goroutine and its body, about 20 KB together; 1,024 of them take a third of the 64 MB
// that an instance may use.
const maxQueuedRequests = 1024

// noCopyTimeout is how long a request waits for a model that no backend server reports as
// ready. Reports lag by one or two seconds, so a copy that moves to another engine may be
// missing from them for that long. Without the wait, requests that can be served would be
// refused.
const noCopyTimeout = 3 * time.Second

// noCopyRetryAfter is the Retry-After for a model without a copy, about the time that a load
// from the weight store takes.
const noCopyRetryAfter = 2 * time.Second

// queueTimeTarget is the longest queue time that counts as good service. Callers are promised
// a first token in 1.8 s, and prefill in a full batch takes about 0.3 s of it.
const queueTimeTarget = 1500 * time.Millisecond

// modelState is the scheduler's state of one model or adapter.
type modelState struct {
	queue *queue.Fair
	// noCopySince is when the model was first requested while no copy was ready.
	noCopySince time.Time
	demand      Demand
}

// Scheduler decides which waiting request is sent to which backend server. It does no I/O
// and starts no goroutine. It is not safe for concurrent use.
type Scheduler struct {
	router       *route.Router
	modelStates  map[galenastair.ModelName]*modelState
	serverShares map[galenastair.BackendServerID]*shareTracker
	tickets      map[*queue.Item]*Ticket
	quality      map[galenastair.Organisation]*serviceQuality
	backlog      backlog
	decisions    []Decision
}

// NewScheduler returns a scheduler without backend servers that takes random numbers from rng.
func NewScheduler(rng *rand.Rand) *Scheduler {
	return &Scheduler{
		router:       route.New(rng),
		modelStates:  map[galenastair.ModelName]*modelState{},
		serverShares: map[galenastair.BackendServerID]*shareTracker{},
		tickets:      map[*queue.Item]*Ticket{},
		quality:      map[galenastair.Organisation]*serviceQuality{},
		backlog:      backlog{queued: map[galenastair.Organisation]*queuedShare{}},
	}
}

// Submit adds a request. The next or a later Poll returns its decision.
func (s *Scheduler) Submit(now time.Time, r Request) *Ticket {
	t := &Ticket{Request: r, submittedAt: now}
	m := s.model(r.Model)
	s.recordDemand(m, r)
	s.router.DetectOutliers(now)
	if err := s.checkCopies(now, m, r); err != nil {
		s.refuse(now, t, err)
		return t
	}
	it := &t.item
	*it = queue.Item{
		ID:           r.ID,
		Organisation: r.Organisation,
		Weight:       r.Weight,
		Cost:         r.cost(),
		LateAfter:    now.Add(queueTimeTarget),
		Deadline:     r.Deadline,
	}
	s.tickets[it] = t
	s.backlog.add(it)
	it.WithinShare = s.backlog.withinShare(it.Organisation)
	s.refuseAll(now, m.queue.Push(now, it))
	s.dispatchModel(now, m)
	if t.state == queued && it.WithinShare {
		s.dispatchWithinShare(now, m, t)
	}
	if len(s.tickets) > maxQueuedRequests {
		s.shed(now)
	}
	return t
}

// checkCopies returns a refusal if no copy of the request's model has been ready for
// noCopyTimeout, and nil if one is ready or may still become so. A retry is refused at once.
func (s *Scheduler) checkCopies(now time.Time, m *modelState, r Request) *galenastair.Refusal {
	if s.router.HasCopy(now, r.Model, r.Exclude) {
		m.noCopySince = time.Time{}
		return nil
	}
	if len(r.Exclude) > 0 {
		return galenastair.NewRefusal(galenastair.ErrNoBackendServer, noCopyRetryAfter, "no other copy of "+string(r.Model))
	}
	if m.noCopySince.IsZero() {
		m.noCopySince = now
	}
	if now.Sub(m.noCopySince) < noCopyTimeout {
		return nil
	}
	return galenastair.NewRefusal(galenastair.ErrNoBackendServer, noCopyRetryAfter, string(r.Model))
}

func (s *Scheduler) model(name galenastair.ModelName) *modelState {
	m := s.modelStates[name]
	if m == nil {
		m = &modelState{queue: queue.NewFair(queue.MaxWaiting)}
		s.modelStates[name] = m
	}
	return m
}

// dispatchModel sends waiting requests of one model while any copy has capacity.
func (s *Scheduler) dispatchModel(now time.Time, m *modelState) {
	fit := func(*queue.Item) bool { return true }
	for m.queue.Len() > 0 {
		it := m.queue.Next(now, fit)
		if it == nil {
			return
		}
		q := s.tickets[it].Request.query()
		d, ok := s.router.Choose(now, q)
		switch {
		case ok:
			s.grant(now, m, it, d)
		case len(q.Exclude) > 0:
			// A retry with excluded backend servers must not block the requests behind it.
			fit = func(it *queue.Item) bool { return len(s.tickets[it].Request.Exclude) == 0 }
		default:
			return
		}
	}
}

// dispatchWithinShare sends a request of an organisation within its share, if need be beyond
// the window of the backend server.
func (s *Scheduler) dispatchWithinShare(now time.Time, m *modelState, t *Ticket) {
	q := t.Request.query()
	q.WithinShare = true
	if d, ok := s.router.Choose(now, q); ok {
		s.grant(now, m, &t.item, d)
	}
}

// dispatchServer sends waiting requests to a backend server while it has capacity.
func (s *Scheduler) dispatchServer(now time.Time, id galenastair.BackendServerID) {
	for s.router.HasCapacity(id) {
		name, it := s.nextFor(now, id)
		if it == nil {
			return
		}
		m := s.modelStates[name]
		if !it.Deadline.IsZero() && now.After(it.Deadline) {
			s.refuseAll(now, m.queue.Expire(now))
			continue
		}
		s.grant(now, m, it, s.router.Assign(id, s.tickets[it].Request.query()))
	}
	// An ejected backend server may still hold the only copy of a model.
	for _, name := range s.router.Loaded(id) {
		if m := s.modelStates[name]; m != nil {
			s.dispatchModel(now, m)
		}
	}
}

// nextFor returns the waiting request that is next on a backend server, and its model. It
// compares the first request of each organisation in the queue of each loaded model.
func (s *Scheduler) nextFor(now time.Time, id galenastair.BackendServerID) (galenastair.ModelName, *queue.Item) {
	share := s.serverShare(id)
	fit := func(it *queue.Item) bool { return !s.excludes(it, id) }
	var best galenastair.ModelName
	var next *queue.Item
	var start float64
	for _, name := range s.router.Loaded(id) {
		m := s.modelStates[name]
		if m == nil || m.queue.Len() == 0 {
			continue
		}
		m.queue.Heads(now, fit, func(it *queue.Item) {
			tag := share.startTag(it.Organisation)
			if next == nil || s.less(now, it, next, tag, start) {
				best, next, start = name, it, tag
			}
		})
	}
	return best, next
}

// less reports whether a goes before b on a backend server: requests within
// queueTimeTarget before late ones, then by the organisations' start tags, then by arrival.
func (s *Scheduler) less(now time.Time, a, b *queue.Item, tagA, tagB float64) bool {
	if a.Late(now) != b.Late(now) {
		return b.Late(now)
	}
	if tagA != tagB {
		return tagA < tagB
	}
	return s.tickets[a].submittedAt.Before(s.tickets[b].submittedAt)
}

func (s *Scheduler) excludes(it *queue.Item, id galenastair.BackendServerID) bool {
	for _, e := range s.tickets[it].Request.Exclude {
		if e == id {
			return true
		}
	}
	return false
}

func (s *Scheduler) serverShare(id galenastair.BackendServerID) *shareTracker {
	t := s.serverShares[id]
	if t == nil {
		t = newShareTracker()
		s.serverShares[id] = t
	}
	return t
}

func (s *Scheduler) grant(now time.Time, m *modelState, it *queue.Item, d route.Decision) {
	t := s.tickets[it]
	s.serverShare(d.Server).charge(it.Organisation, float64(it.Cost), float64(it.Weight))
	m.queue.Take(now, it)
	s.removeQueued(it)
	t.state, t.grantedAt, t.server = running, now, d.Server
	s.router.Sent(now, d.Server, t.Request.PrefixHashes)
	waited := now.Sub(t.submittedAt)
	s.recordQuality(t, waited <= queueTimeTarget)
	s.decisions = append(s.decisions, Decision{Ticket: t, Choice: Choice{
		Decision:  d,
		Priority:  s.priority(m, it),
		QueueTime: waited,
	}})
}

// priority returns the priority level for the engine. An organisation that causes the backlog
// gets the next less urgent level: if its requests are spread over many models and
// instances, it has few waiting in each queue, and the level of the queue alone would not
// rank it behind the others.
func (s *Scheduler) priority(m *modelState, it *queue.Item) int {
	level := m.queue.Priority(it.Organisation)
	if !it.WithinShare && s.backlog.overShare(it.Organisation) {
		return level + 1
	}
	return level
}

func (s *Scheduler) removeQueued(it *queue.Item) {
	delete(s.tickets, it)
	s.backlog.remove(it)
}

func (s *Scheduler) refuse(_ time.Time, t *Ticket, err *galenastair.Refusal) {
	t.state = ended
	s.model(t.Request.Model).demand.Refused++
	s.recordQuality(t, false)
	s.decisions = append(s.decisions, Decision{Ticket: t, Err: err})
}

func (s *Scheduler) refuseAll(now time.Time, refused []queue.Refused) {
	for _, r := range refused {
		t := s.tickets[r.Item]
		s.removeQueued(r.Item)
		s.refuse(now, t, r.Err)
	}
}

// shed refuses one request of the longest queue when all queues together are full.
func (s *Scheduler) shed(now time.Time) {
	var longest *modelState
	for _, m := range s.modelStates {
		if longest == nil || m.queue.Len() > longest.queue.Len() {
			longest = m
		}
	}
	s.refuseAll(now, []queue.Refused{longest.queue.Shed(now)})
}

// Poll returns the decisions made since the previous call.
func (s *Scheduler) Poll() []Decision {
	out := s.decisions
	s.decisions = nil
	return out
}
