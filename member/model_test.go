package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"galenastair"
)

// model runs nodes against a log, a network and clocks of its own. It alone
// knows true time; each node sees its own clock, up to 1 % fast or slow.
type model struct {
	rules   rules
	timing  Timing
	noise   *rand.Rand
	now     time.Duration
	queue   events
	seq     int
	procs   []*process
	records []galenastair.Record
	truth   State
	logDown bool
	slow    time.Duration
	stats   struct{ lapses, joins, held int64 }
	failure string
	// idle is set by an event that changed nothing.
	idle bool
}

// process is one node and what happens to it.
type process struct {
	*Node
	slot   int
	offset time.Duration
	rate   float64
	folded int
	dead   bool
	paused time.Duration
	// lagging, offLog and offNet end at a true time.
	lagging time.Duration
	offLog  time.Duration
	offNet  time.Duration
	// apart ends the time that this process, and others apart too, reach neither the rest nor the log.
	apart time.Duration
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newModel(r rules, t Timing, seed uint64) *model {
	m := &model{rules: r, timing: t, noise: rand.New(rand.NewPCG(seed, 1))}
	m.truth.rules = r
	return m
}

func (m *model) after(d time.Duration, f func()) {
	m.seq++
	heap.Push(&m.queue, event{m.now + d, m.seq, f})
}

func (m *model) run(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until && m.failure == "" {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		m.idle = false
		e.do()
		if !m.idle {
			m.check()
		}
	}
	m.now = until
}

func (m *model) delay() time.Duration {
	longest := 20 * time.Millisecond
	if m.noise.IntN(20) == 0 {
		longest = 3 * time.Second
	}
	return time.Millisecond + time.Duration(m.noise.Int64N(int64(longest)))
}

func (p *process) clock(m *model) time.Time {
	return modelStart.Add(p.offset + time.Duration(float64(m.now)*p.rate))
}

func (p *process) runs(m *model) bool { return !p.dead && m.now >= p.paused }

// start begins a process at a slot, which stands for an address and a zone.
func (m *model) start(slot int) {
	rates := []float64{1.01, 0.99, 1}
	p := &process{slot: slot, offset: time.Duration(m.noise.Int64N(int64(time.Hour))), rate: rates[(slot+len(m.procs))%3]}
	self := Member{
		ID: galenastair.InstanceID(fmt.Sprint("i", slot)), PeerAddress: fmt.Sprint("at", slot),
		AvailabilityZone: galenastair.AvailabilityZone(fmt.Sprint("z", slot%3)), Token: fmt.Sprint("t", len(m.procs)),
	}
	p.Node = newNode(self, m.timing, m.rules, p.clock(m))
	m.procs = append(m.procs, p)
	m.every(p, 250*time.Millisecond, func() { p.Tick(p.clock(m)) })
	m.every(p, 100*time.Millisecond, func() { m.poll(p) })
}

// every repeats f while the process lives; a paused one goes on when it wakes.
func (m *model) every(p *process, d time.Duration, f func()) {
	m.after(max(d, p.paused-m.now), func() {
		if p.dead {
			return
		}
		m.wake(p, f)
		m.every(p, d, f)
	})
}

// wake runs f on a process, once its pause is over, and carries out what it decides.
func (m *model) wake(p *process, f func()) {
	if p.dead {
		return
	}
	if m.now < p.paused {
		m.after(p.paused-m.now, func() { m.wake(p, f) })
		return
	}
	f()
	for _, a := range p.Take() {
		m.act(p, a)
	}
}

func (m *model) poll(p *process) {
	if m.logDown || m.now < max(p.offLog, p.apart, p.lagging) {
		return
	}
	read := p.folded
	for p.folded < len(m.records) {
		p.Fold(p.clock(m), galenastair.Offset(p.folded+1), m.records[p.folded])
		p.folded++
	}
	p.LogContact(p.clock(m))
	m.idle = read == p.folded
}

// reach returns the process that runs at a slot, if the network carries a message to it.
func (m *model) reach(p *process, to Member) *process {
	if m.now < p.offNet || m.noise.IntN(50) == 0 {
		return nil
	}
	apart := m.now < p.apart
	for _, q := range slices.Backward(m.procs) {
		if q.self.PeerAddress == to.PeerAddress && !q.dead && m.now >= q.offNet && apart == (m.now < q.apart) {
			return q
		}
	}
	return nil
}

// request carries one message to the process at an address and its answer back.
func (m *model) request(p *process, to Member, serve func(q *process) func()) {
	m.after(m.delay(), func() {
		q := m.reach(p, to)
		if q == nil {
			return
		}
		m.wake(q, func() {
			answer := serve(q)
			m.after(m.delay(), func() {
				if m.reach(q, p.self) == p {
					m.wake(p, answer)
				}
			})
		})
	})
}

func (m *model) act(p *process, a Action) {
	switch a := a.(type) {
	case Append:
		m.append(p, a.Record)
	case SendHeartbeat:
		news := p.News(p.clock(m), false)
		m.request(p, a.To, func(q *process) func() {
			q.MergeNews(q.clock(m), news)
			granted := q.Promise(q.clock(m), a.Beat)
			back, left := q.News(q.clock(m), false), q.Handover(q.clock(m))
			return func() {
				p.MergeNews(p.clock(m), back)
				p.Answered(p.clock(m), a.Beat, granted)
				p.TakeOver(p.clock(m), left)
			}
		})
	case SendNews:
		news := p.News(p.clock(m), false)
		m.request(p, a.To, func(q *process) func() {
			q.MergeNews(q.clock(m), news)
			return func() {}
		})
	case AskAdmission:
		m.request(p, a.To, func(q *process) func() {
			answer := q.Admit(q.clock(m), p.self)
			return func() { p.AdmissionAnswered(a.To, answer) }
		})
		m.after(m.timing.Timeout, func() { m.wake(p, p.AdmissionFailed) })
	case Probe:
		q := m.reach(p, a.To)
		answered := q != nil && m.now >= q.paused
		token := ""
		if answered {
			token = q.self.Token
		}
		p.Probed(p.clock(m), a.To, token, answered)
	case ReadList:
		m.list(p)
	}
}

func (m *model) list(p *process) {
	var listed []galenastair.ListedInstance
	for _, q := range m.procs {
		if !q.dead {
			listed = append(listed, galenastair.ListedInstance{ID: string(q.self.ID), Role: galenastair.RoleEntry})
		}
	}
	p.Listed(p.clock(m), listed)
}

// append lands a record after a delay, which a fault can make long; in an outage it is lost or refused.
func (m *model) append(p *process, rec galenastair.Record) {
	if m.logDown || m.now < max(p.offLog, p.apart) {
		if m.noise.IntN(2) == 0 {
			p.AppendRefused(rec.ID)
		}
		return
	}
	d := m.delay()
	if m.slow > m.now && m.noise.IntN(2) == 0 {
		d += time.Duration(m.noise.Int64N(int64(15 * time.Second)))
	}
	m.after(d, func() {
		m.records = append(m.records, rec)
		if m.truth.Apply(galenastair.Offset(len(m.records)), rec) != Applied {
			return
		}
		switch rec.Kind {
		case KindLapse:
			m.stats.lapses++
		case KindJoin:
			m.stats.joins++
		}
	})
}

// modelDuties are the duties that the check looks at.
var modelDuties = []Duty{LeaderDuty, SlotDuty("k1", 0), SlotDuty("k1", 1), SlotDuty("k2", 0)}

// check is run after every event: no lapsed member holds a lease, and no duty has two holders.
func (m *model) check() {
	holders := make([]int, len(modelDuties))
	leaders := 0
	for _, p := range m.procs {
		if !p.runs(m) {
			continue
		}
		now := p.clock(m)
		s := &Status{Self: p.self, View: p.state.View, lease: p.lease, settling: p.settling}
		if !s.Holds(now) {
			continue
		}
		m.stats.held++
		if m.truth.index(p.self.Incarnation) < 0 {
			m.failure = fmt.Sprintf("at %v incarnation %d holds a lease after its end", m.now, p.self.Incarnation)
		}
		for i, d := range modelDuties {
			if s.ServesDuty(d, now) {
				holders[i]++
			}
		}
		if s.Leads(now) {
			leaders++
		}
	}
	if leaders > 1 && m.failure == "" {
		m.failure = fmt.Sprintf("at %v there are %d leaders", m.now, leaders)
	}
	for i, n := range holders {
		if n > 1 && m.failure == "" {
			m.failure = fmt.Sprintf("at %v duty %d has %d holders", m.now, i, n)
		}
	}
}

// settledRing says whether the ring is just the living processes and all of them hold their leases.
func (m *model) settledRing() bool {
	living := 0
	for _, p := range m.procs {
		if p.dead || p.stopping {
			continue
		}
		living++
		if m.truth.index(p.self.Incarnation) < 0 || !p.holds(p.clock(m)) {
			return false
		}
	}
	return living == 0 || living == len(m.truth.Ring)
}
