package pool

import (
	"time"

	"galenastair"
)

// Flight is one request on its way at a backend server.
type Flight struct {
	pool    *Pool
	member  *member
	query   Query
	begun   time.Time
	nominal time.Duration
	started bool
	ended   bool
	// first says that nothing else waited to be read when it was sent.
	first     bool
	startedAt time.Time
}

// Result says how a flight ended, as far as the server is to blame or to praise.
type Result int

// The results of a flight.
const (
	// Succeeded is a whole answer, also one that is a failure of the request's own.
	Succeeded Result = iota
	// Failed is an answer that was cut, wrong or an error of the server.
	Failed
	// Absent is a server at whose address nothing listens: its process has ended.
	Absent
	// Erred is a whole answer that says that the server failed.
	Erred
	// Full is a server that declined for lack of room.
	Full
	// Neutral says nothing about the server: the caller left, or the request was wrong.
	Neutral
)

// Begin counts a request that is about to be sent to a server.
func (p *Pool) Begin(now time.Time, id galenastair.BackendServerID, q Query) *Flight {
	q.keys = partKeys(q.Hints)
	p.mu.Lock()
	defer p.mu.Unlock()
	f := &Flight{pool: p, query: q, begun: now}
	m := p.members[id]
	if m == nil {
		f.ended = true
		return f
	}
	f.member = m
	f.nominal = m.nominal(now, &q)
	f.first = q.engine() && m.unread == 0 && m.othersUnread(now) < 1
	m.flights++
	m.unread += q.Prompt
	if !q.Once && m.health.mayProbe(now) {
		m.health.probing = true
	}
	m.health.sent(now)
	m.cache.add(q.keys)
	return f
}

// Started notes the first event of the answer, or its head where it is no stream.
func (f *Flight) Started(now time.Time) {
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	if f.ended || f.started {
		return
	}
	f.started, f.startedAt = true, now
	f.member.unread -= f.query.Prompt
	f.member.health.started(now)
	f.learnRead(now)
	ratio := float64(now.Sub(f.begun)) / float64(f.nominal)
	model := f.pool.paceOf(&f.query)
	f.member.pace.learn(now, ratio/(f.member.pace.value(now)*model.value(now)), fastLearning)
	model.learn(now, ratio/(f.member.pace.value(now)*model.value(now)), slowLearning)
}

// End takes the request off its server.
func (f *Flight) End(now time.Time, r Result) {
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	m := f.member
	m.flights--
	if !f.started {
		m.unread -= f.query.Prompt
		m.health.unstarted = max(0, m.health.unstarted-1)
	}
	switch r {
	case Succeeded:
		if f.started {
			f.learnRun(now)
		}
		m.health.succeeded()
		m.absent = time.Time{}
	case Failed:
		m.health.failed(now)
	case Absent:
		m.health.failed(now)
		m.absent = now
	case Erred:
		m.health.erred(now)
	case Full:
		m.full[f.query.Model] = now.Add(fullFor)
		m.health.probing = false
	case Neutral:
		m.health.probing = false
	}
}
