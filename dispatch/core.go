package dispatch

import (
	"math/rand/v2"
	"time"

	"galenastair"
	"galenastair/queue"
	"galenastair/route"
)

// maxWaiting bounds the waiting requests of an entry over all models. Each holds a
// goroutine and its body, about 20 KB together; 1,024 take a third of the 64 MB.
const maxWaiting = 1024

// copyGrace is how long a request waits for a model that no backend server has
// ready. Reports are a second or two late, so a copy that moves can be out of
// sight for that long; refusing at once would refuse what could be served.
const copyGrace = 3 * time.Second

// copyRetry is when to ask again for a model without a copy: a load from the
// weight store takes about that long.
const copyRetry = 2 * time.Second

// freshFor is how long a request may wait and still be served well: callers are
// promised a first token in 1.8 s, and a prefill in a full batch takes some 0.3 s.
const freshFor = 1500 * time.Millisecond

// model is the core's state of one model or adapter.
type model struct {
	queue *queue.Fair
	// missing is when the model was first asked for without any ready copy.
	missing time.Time
	demand  Demand
}

// Core decides which waiting request goes to which backend server. It opens no
// socket and starts no goroutine; one goroutine at a time may use it.
type Core struct {
	router  *route.Router
	models  map[galenastair.ModelName]*model
	turns   map[galenastair.BackendServerID]*turn
	tickets map[*queue.Item]*Ticket
	served  map[galenastair.Organisation]*served
	backlog backlog
	out     []Decision
}

// NewCore returns a core that knows no backend server; its draws come from rng.
func NewCore(rng *rand.Rand) *Core {
	return &Core{
		router:  route.New(rng),
		models:  map[galenastair.ModelName]*model{},
		turns:   map[galenastair.BackendServerID]*turn{},
		tickets: map[*queue.Item]*Ticket{},
		served:  map[galenastair.Organisation]*served{},
		backlog: backlog{waiting: map[galenastair.Organisation]*waitingShare{}},
	}
}

// Submit adds a request; its decision comes from this or a later Poll.
func (c *Core) Submit(now time.Time, r Request) *Ticket {
	t := &Ticket{Request: r, submitted: now}
	m := c.model(r.Model)
	c.offered(m, r)
	c.router.Review(now)
	if err := c.missing(now, m, r); err != nil {
		c.refuse(now, t, err)
		return t
	}
	it := &t.item
	*it = queue.Item{
		ID:           r.ID,
		Organisation: r.Organisation,
		Weight:       r.Weight,
		Cost:         r.cost(),
		Fresh:        now.Add(freshFor),
		Deadline:     r.Deadline,
	}
	c.tickets[it] = t
	c.backlog.add(it)
	it.Entitled = c.backlog.entitles(it.Organisation)
	c.refuseAll(now, m.queue.Push(now, it))
	c.drainModel(now, m)
	if t.state == waiting && it.Entitled {
		c.sendEntitled(now, m, t)
	}
	if len(c.tickets) > maxWaiting {
		c.shed(now)
	}
	return t
}

// missing returns the refusal of a request for a model without a ready copy, if its time is over.
func (c *Core) missing(now time.Time, m *model, r Request) *galenastair.Refusal {
	if c.router.Known(now, r.Model, r.Exclude) {
		m.missing = time.Time{}
		return nil
	}
	if len(r.Exclude) > 0 {
		return galenastair.Refuse(galenastair.ErrNoBackendServer, copyRetry, "no other copy of "+string(r.Model))
	}
	if m.missing.IsZero() {
		m.missing = now
	}
	if now.Sub(m.missing) < copyGrace {
		return nil
	}
	return galenastair.Refuse(galenastair.ErrNoBackendServer, copyRetry, string(r.Model))
}

func (c *Core) model(name galenastair.ModelName) *model {
	m := c.models[name]
	if m == nil {
		m = &model{queue: queue.NewFair(queue.MaxWaiting)}
		c.models[name] = m
	}
	return m
}

// drainModel sends waiting requests of one model while any copy has room.
func (c *Core) drainModel(now time.Time, m *model) {
	fit := func(*queue.Item) bool { return true }
	for m.queue.Len() > 0 {
		it := m.queue.Next(now, fit)
		if it == nil {
			return
		}
		q := c.tickets[it].Request.query()
		d, ok := c.router.Choose(now, q)
		switch {
		case ok:
			c.grant(now, m, it, d)
		case len(q.Exclude) > 0:
			// a request that may go to few backend servers must not hold up the rest
			fit = func(it *queue.Item) bool { return len(c.tickets[it].Request.Exclude) == 0 }
		default:
			return
		}
	}
}

// sendEntitled sends a request of an organisation within its share beyond the window.
func (c *Core) sendEntitled(now time.Time, m *model, t *Ticket) {
	q := t.Request.query()
	q.Entitled = true
	if d, ok := c.router.Choose(now, q); ok {
		c.grant(now, m, &t.item, d)
	}
}

// drainServer sends waiting requests to a backend server while it has room.
func (c *Core) drainServer(now time.Time, id galenastair.BackendServerID) {
	for c.router.HasRoom(id) {
		name, it := c.turnOf(now, id)
		if it == nil {
			return
		}
		m := c.models[name]
		if !it.Deadline.IsZero() && now.After(it.Deadline) {
			c.refuseAll(now, m.queue.Expire(now))
			continue
		}
		c.grant(now, m, it, c.router.Take(id, c.tickets[it].Request.query()))
	}
	// one that was taken out may still hold the only copy of a model
	for _, name := range c.router.Loaded(id) {
		if m := c.models[name]; m != nil {
			c.drainModel(now, m)
		}
	}
}

// turnOf picks the organisation whose turn it is on a backend server, and the one of
// its requests there that has waited longest.
func (c *Core) turnOf(now time.Time, id galenastair.BackendServerID) (galenastair.ModelName, *queue.Item) {
	tn := c.turn(id)
	fit := func(it *queue.Item) bool { return !c.excludes(it, id) }
	var best galenastair.ModelName
	var next *queue.Item
	var start float64
	for _, name := range c.router.Loaded(id) {
		m := c.models[name]
		if m == nil || m.queue.Len() == 0 {
			continue
		}
		m.queue.Heads(now, fit, func(it *queue.Item) {
			tag := tn.start(it.Organisation)
			if next == nil || c.before(now, it, next, tag, start) {
				best, next, start = name, it, tag
			}
		})
	}
	return best, next
}

// before says whether a goes before b on a backend server: fresh ones before late
// ones, then by the organisations' tags, then by arrival.
func (c *Core) before(now time.Time, a, b *queue.Item, tagA, tagB float64) bool {
	if a.Late(now) != b.Late(now) {
		return b.Late(now)
	}
	if tagA != tagB {
		return tagA < tagB
	}
	return c.tickets[a].submitted.Before(c.tickets[b].submitted)
}

func (c *Core) excludes(it *queue.Item, id galenastair.BackendServerID) bool {
	for _, e := range c.tickets[it].Request.Exclude {
		if e == id {
			return true
		}
	}
	return false
}

func (c *Core) turn(id galenastair.BackendServerID) *turn {
	t := c.turns[id]
	if t == nil {
		t = newTurn()
		c.turns[id] = t
	}
	return t
}

func (c *Core) grant(now time.Time, m *model, it *queue.Item, d route.Decision) {
	t := c.tickets[it]
	c.turn(d.Server).charge(it.Organisation, float64(it.Cost), float64(it.Weight))
	m.queue.Take(now, it)
	c.forget(it)
	t.state, t.granted, t.server = running, now, d.Server
	c.router.Sent(now, d.Server, t.Request.Prefix)
	waited := now.Sub(t.submitted)
	c.record(t, waited <= freshFor)
	c.out = append(c.out, Decision{Ticket: t, Choice: Choice{
		Decision: d,
		Priority: c.priority(m, it),
		Waited:   waited,
	}})
}

// priority is the level for the engine. Whoever makes the backlog comes after all
// others there: spread over many models and entries it has little waiting in any one
// queue, so that the queues' own levels can't tell it apart.
func (c *Core) priority(m *model, it *queue.Item) int {
	level := m.queue.Priority(it.Organisation)
	if !it.Entitled && c.backlog.exceeds(it.Organisation) {
		return level + 1
	}
	return level
}

func (c *Core) forget(it *queue.Item) {
	delete(c.tickets, it)
	c.backlog.remove(it)
}

func (c *Core) refuse(_ time.Time, t *Ticket, err *galenastair.Refusal) {
	t.state = ended
	c.model(t.Request.Model).demand.Refused++
	c.record(t, false)
	c.out = append(c.out, Decision{Ticket: t, Err: err})
}

func (c *Core) refuseAll(now time.Time, refused []queue.Refused) {
	for _, r := range refused {
		t := c.tickets[r.Item]
		c.forget(r.Item)
		c.refuse(now, t, r.Err)
	}
}

// shed drops one request from the longest queue: all queues together are full.
func (c *Core) shed(now time.Time) {
	var longest *model
	for _, m := range c.models {
		if longest == nil || m.queue.Len() > longest.queue.Len() {
			longest = m
		}
	}
	c.refuseAll(now, []queue.Refused{longest.queue.Shed(now)})
}

// Poll returns the decisions made since the last one.
func (c *Core) Poll() []Decision {
	out := c.out
	c.out = nil
	return out
}
