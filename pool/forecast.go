package pool

import (
	"math"
	"time"

	"galenastair"
)

const (
	// readPerSecond is a guess of the prompt tokens that an engine reads in a second, until
	// answers have come. Only proportions matter: pace corrects what a server really does.
	readPerSecond = 20400
	// step is such a guess of one round of an engine's batch.
	step = 10100 * time.Microsecond
	// perFlight is what each running request adds to every round of the batch.
	perFlight = 400 * time.Microsecond
	// slowLearning and fastLearning are the weights of one new answer in the pace of
	// a model (the same on all servers) and of a server.
	slowLearning = 0.05
	fastLearning = 0.25
	// leastPace and mostPace bound what one odd answer can make of a server.
	leastPace = 0.2
	mostPace  = 30
	// paceMemory is how fast a long pace is forgotten: some times the life of a queue.
	paceMemory = 3 * time.Second
	// plainWork is the first guess of what a plain service takes.
	plainWork = 20 * time.Millisecond
	// othersMemory is how fast a figure told by other instances loses its worth:
	// about the time that a prompt waits and is read.
	othersMemory = time.Second
)

// pace is how many times longer than foretold answers take. A long one is forgotten: the queue
// that it came of may be gone, and an instance that sends elsewhere for it never learns so.
type pace struct {
	ratio float64
	at    time.Time
}

func (p *pace) value(now time.Time) float64 {
	if p == nil || p.ratio == 0 {
		return 1
	}
	if p.ratio <= 1 {
		return p.ratio
	}
	return 1 + (p.ratio-1)*math.Exp(-max(0, now.Sub(p.at).Seconds())/paceMemory.Seconds())
}

func (p *pace) learn(now time.Time, ratio, weight float64) {
	v := p.value(now)
	p.ratio, p.at = min(mostPace, max(leastPace, v*(1-weight)+v*ratio*weight)), now
}

// nominal is the time to the first event that a server of usual pace needs.
func (m *member) nominal(now time.Time, q *Query) time.Duration {
	if !q.engine() {
		return m.nominalPlain(now)
	}
	tokens := float64(m.unread) + m.othersUnread(now) + float64(q.Prompt-m.cache.match(q.keys, q.Parts))
	read := time.Duration(tokens / readPerSecond * float64(time.Second))
	flights := float64(m.flights) + m.othersFlights(now)
	rounds := 2 * (step + time.Duration(flights*float64(perFlight)))
	return read + rounds + m.fullWait(flights)
}

// fullWait is the wait for a slot when all are taken: the running requests leave
// one after the other, each after some hundred rounds shared by all slots.
func (m *member) fullWait(flights float64) time.Duration {
	over := flights - float64(m.Slots)
	if over < 0 || m.Slots == 0 {
		return 0
	}
	return time.Duration((over + 1) / float64(m.Slots) * float64(time.Second))
}

func (m *member) nominalPlain(now time.Time) time.Duration {
	flights := float64(m.flights) + m.othersFlights(now)
	queued := max(0, flights+1-float64(m.Slots))
	return plainWork + time.Duration(queued/float64(max(1, m.Slots))*float64(plainWork))
}

func (m *member) othersUnread(now time.Time) float64 {
	return m.others.Unread * decay(now.Sub(m.othersAt))
}

func (m *member) othersFlights(now time.Time) float64 {
	return m.others.Flights * decay(now.Sub(m.othersAt))
}

// decay is linear: what others told is worth nothing twice the memory later.
func decay(age time.Duration) float64 {
	return max(0, 1-float64(age)/float64(2*othersMemory))
}

// Load is what the requests of one or more instances put on a backend server.
type Load struct {
	Flights float64
	// Unread is prompt tokens of requests that have no first event yet.
	Unread float64
}

// Query is what a choice depends on.
type Query struct {
	Service galenastair.ServiceName
	galenastair.Hints
	// Aim is the time to the first event that is still on time.
	Aim time.Duration
	// Once says that the request may not be repeated.
	Once    bool
	Exclude []galenastair.BackendServerID

	keys []uint64
}

func (q *Query) engine() bool { return q.Model != "" }
