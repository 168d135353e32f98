package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"galenastair"
)

// model runs nodes against a simulated log, network and clocks. Only the model knows the true time;
// the clock of each node is up to 1 % fast or slow.
type model struct {
	rules            rules
	timing           Timing
	random           *rand.Rand
	now              time.Duration
	queue            events
	seq              int
	procs            []*process
	records          []galenastair.Record
	logState         State
	logDown          bool
	slowAppendsUntil time.Duration
	stats            struct{ lapses, joins, held int64 }
	failure          string
	// unchanged is set by an event that changed nothing, so that the check can be skipped.
	unchanged bool
}

// process is a node together with the faults that affect it.
type process struct {
	*Node
	slot        int
	offset      time.Duration
	rate        float64
	applied     int
	dead        bool
	pausedUntil time.Duration
	// The faults end at these true times: lag, loss of the log, loss of the network.
	laggingUntil time.Duration
	logCutUntil  time.Duration
	netCutUntil  time.Duration
	// isolatedUntil ends the time in which this process reaches neither the log nor any process that
	// is not isolated too.
	isolatedUntil time.Duration
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
	m := &model{rules: r, timing: t, random: rand.New(rand.NewPCG(seed, 1))}
	m.logState.rules = r
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
		m.unchanged = false
		e.do()
		if !m.unchanged {
			m.check()
		}
	}
	m.now = until
}

func (m *model) delay() time.Duration {
	longest := 20 * time.Millisecond
	if m.random.IntN(20) == 0 {
		longest = 3 * time.Second
	}
	return time.Millisecond + time.Duration(m.random.Int64N(int64(longest)))
}

func (p *process) localTime(m *model) time.Time {
	return modelStart.Add(p.offset + time.Duration(float64(m.now)*p.rate))
}

func (p *process) runs(m *model) bool { return !p.dead && m.now >= p.pausedUntil }

// start starts a process at a slot, which stands for an address and a zone.
func (m *model) start(slot int) {
	rates := []float64{1.01, 0.99, 1}
	p := &process{slot: slot, offset: time.Duration(m.random.Int64N(int64(time.Hour))), rate: rates[(slot+len(m.procs))%3]}
	self := Member{
		ID: galenastair.InstanceID(fmt.Sprint("i", slot)), PeerAddress: fmt.Sprint("at", slot),
		AvailabilityZone: galenastair.AvailabilityZone(fmt.Sprint("z", slot%3)), Token: fmt.Sprint("t", len(m.procs)),
	}
	p.Node = newNode(self, m.timing, m.rules, p.localTime(m))
	m.procs = append(m.procs, p)
	m.every(p, 250*time.Millisecond, func() { p.Tick(p.localTime(m)) })
	m.every(p, 100*time.Millisecond, func() { m.readLog(p) })
}

// every repeats f while the process lives; a paused process continues after its pause.
func (m *model) every(p *process, d time.Duration, f func()) {
	m.after(max(d, p.pausedUntil-m.now), func() {
		if p.dead {
			return
		}
		m.runWhenAwake(p, f)
		m.every(p, d, f)
	})
}

// runWhenAwake runs f on a process, after its pause if it is paused, and executes the resulting actions.
func (m *model) runWhenAwake(p *process, f func()) {
	if p.dead {
		return
	}
	if m.now < p.pausedUntil {
		m.after(p.pausedUntil-m.now, func() { m.runWhenAwake(p, f) })
		return
	}
	f()
	for _, a := range p.DrainActions() {
		m.execute(p, a)
	}
}

func (m *model) readLog(p *process) {
	if m.logDown || m.now < max(p.logCutUntil, p.isolatedUntil, p.laggingUntil) {
		return
	}
	read := p.applied
	for p.applied < len(m.records) {
		p.Apply(p.localTime(m), galenastair.Offset(p.applied+1), m.records[p.applied])
		p.applied++
	}
	p.ObserveLogContact(p.localTime(m))
	m.unchanged = read == p.applied
}

// receiver returns the process at an address, or nil if the network does not deliver a message to it.
func (m *model) receiver(p *process, to Member) *process {
	if m.now < p.netCutUntil || m.random.IntN(50) == 0 {
		return nil
	}
	isolated := m.now < p.isolatedUntil
	for _, q := range slices.Backward(m.procs) {
		if q.self.PeerAddress == to.PeerAddress && !q.dead && m.now >= q.netCutUntil && isolated == (m.now < q.isolatedUntil) {
			return q
		}
	}
	return nil
}

// request delivers a message to the process at an address and its reply back.
func (m *model) request(p *process, to Member, serve func(q *process) func()) {
	m.after(m.delay(), func() {
		q := m.receiver(p, to)
		if q == nil {
			return
		}
		m.runWhenAwake(q, func() {
			answer := serve(q)
			m.after(m.delay(), func() {
				if m.receiver(q, p.self) == p {
					m.runWhenAwake(p, answer)
				}
			})
		})
	})
}

func (m *model) execute(p *process, a Action) {
	switch a := a.(type) {
	case Append:
		m.append(p, a.Record)
	case SendHeartbeat:
		gossip := p.Gossip(p.localTime(m), false)
		m.request(p, a.To, func(q *process) func() {
			q.MergeGossip(q.localTime(m), gossip)
			granted := q.HandleHeartbeat(q.localTime(m), a.Heartbeat)
			back, left := q.Gossip(q.localTime(m), false), q.Handover(q.localTime(m))
			return func() {
				p.MergeGossip(p.localTime(m), back)
				p.HandleHeartbeatReply(p.localTime(m), a.Heartbeat, granted)
				p.HandleHandover(p.localTime(m), left)
			}
		})
	case SendGossip:
		gossip := p.Gossip(p.localTime(m), false)
		m.request(p, a.To, func(q *process) func() {
			q.MergeGossip(q.localTime(m), gossip)
			return func() {}
		})
	case AskAdmission:
		m.request(p, a.To, func(q *process) func() {
			answer := q.Admit(q.localTime(m), p.self)
			return func() { p.HandleAdmitReply(a.To, answer) }
		})
		m.after(m.timing.CallTimeout, func() { m.runWhenAwake(p, p.HandleAdmitFailure) })
	case Probe:
		q := m.receiver(p, a.To)
		answered := q != nil && m.now >= q.pausedUntil
		token := ""
		if answered {
			token = q.self.Token
		}
		p.HandleProbeResult(p.localTime(m), a.To, token, answered)
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
	p.HandleInstanceList(p.localTime(m), listed)
}

// append adds a record after a delay, which a fault can make long. During an outage the append is
// lost or refused.
func (m *model) append(p *process, rec galenastair.Record) {
	if m.logDown || m.now < max(p.logCutUntil, p.isolatedUntil) {
		if m.random.IntN(2) == 0 {
			p.HandleAppendRefused(rec.ID)
		}
		return
	}
	d := m.delay()
	if m.slowAppendsUntil > m.now && m.random.IntN(2) == 0 {
		d += time.Duration(m.random.Int64N(int64(15 * time.Second)))
	}
	m.after(d, func() {
		m.records = append(m.records, rec)
		if m.logState.Apply(galenastair.Offset(len(m.records)), rec) != Applied {
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

// modelOwners are the roles that check verifies.
var modelOwners = []OwnerFunc{LeaderOf, SlotOwner("k1", 0), SlotOwner("k1", 1), SlotOwner("k2", 0)}

// check runs after every event. It verifies that no member that has been removed holds a lease, and
// that no role has two owners.
func (m *model) check() {
	owners := make([]int, len(modelOwners))
	leaders := 0
	for _, p := range m.procs {
		if !p.runs(m) {
			continue
		}
		now := p.localTime(m)
		s := &Status{Self: p.self, View: p.state.View, lease: p.lease, history: p.history}
		if !s.HoldsLease(now) {
			continue
		}
		m.stats.held++
		if m.logState.index(p.self.Incarnation) < 0 {
			m.failure = fmt.Sprintf("at %v incarnation %d holds a lease after its removal", m.now, p.self.Incarnation)
		}
		for i, d := range modelOwners {
			if s.ActsAs(d, now) {
				owners[i]++
			}
		}
		if s.Leads(now) {
			leaders++
		}
	}
	if leaders > 1 && m.failure == "" {
		m.failure = fmt.Sprintf("at %v there are %d leaders", m.now, leaders)
	}
	for i, n := range owners {
		if n > 1 && m.failure == "" {
			m.failure = fmt.Sprintf("at %v role %d has %d owners", m.now, i, n)
		}
	}
}

// converged reports whether the ring consists of exactly the living processes and all of them hold their leases.
func (m *model) converged() bool {
	living := 0
	for _, p := range m.procs {
		if p.dead || p.stopping {
			continue
		}
		living++
		if m.logState.index(p.self.Incarnation) < 0 || !p.holdsLease(p.localTime(m)) {
			return false
		}
	}
	return living == 0 || living == len(m.logState.Ring)
}
