package permit

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"galenastair"
)

const (
	// holdWeight is the weight of a permit that is released in the mean time for which permits are held.
	holdWeight = 0.1
	// declineRecovery is the time after which a server that has declined a request takes one more again.
	declineRecovery = time.Second
	// maxDeclinePause bounds the pause after a decline.
	maxDeclinePause = 2 * time.Second
)

// Table holds the permits of servers that this instance issues. It is safe for concurrent use.
type Table struct {
	// inFlight returns the number of requests that all instances had in flight at a server as last
	// reported.
	inFlight func(now time.Time, id galenastair.BackendServerID) int

	mu      sync.Mutex
	servers map[galenastair.BackendServerID]*server
}

// server has the permits of one server.
type server struct {
	permits map[ID]issued
	// unpermitted holds the requests without a permit, by instance.
	unpermitted map[string]unpermitted
	waiting     []*Waiter
	// initial is what was in flight when the table got its first request, of which the holders have yet
	// to tell until knownAt.
	initial int
	knownAt time.Time
	// meanHold is the mean time for which a permit is held, 0 if it is not known.
	meanHold time.Duration
	// limit is the limit of the last request, and lowered how much less the server takes by its declines.
	limit, lowered int
	declinedAt     time.Time
	// pausedUntil is the time until which there are no new permits, so that declines are far enough apart.
	pausedUntil time.Time
	usedAt      time.Time
}

type issued struct {
	at, expiresAt time.Time
}

type unpermitted struct {
	count     int
	expiresAt time.Time
}

// Waiter is a request that waits for a permit.
type Waiter struct {
	server galenastair.BackendServerID
	// granted gets the permit.
	granted chan ID
}

// Granted returns the channel that gets the permit.
func (w *Waiter) Granted() <-chan ID { return w.granted }

// NewTable returns an empty table. inFlight returns the number of requests that all instances had in
// flight at a server as last reported, which counts until they have told a new issuer.
func NewTable(inFlight func(time.Time, galenastair.BackendServerID) int) *Table {
	return &Table{inFlight: inFlight, servers: map[galenastair.BackendServerID]*server{}}
}

// Acquire returns a permit or, if there is none but may be in time, a Waiter. Cancel must be called with
// the waiter.
func (t *Table) Acquire(now time.Time, r Request) (Decision, *Waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serverOf(now, r.Server)
	s.limit = r.Limit
	s.expire(now)
	s.grant(now)
	if len(s.waiting) == 0 && s.hasRoom(now) {
		return Decision{ID: s.issue(now)}, nil
	}
	if wait := s.expectedWait(now); wait >= r.MaxWait {
		return Decision{Delay: wait}, nil
	}
	w := &Waiter{r.Server, make(chan ID, 1)}
	s.waiting = append(s.waiting, w)
	return Decision{}, w
}

// Cancel ends a wait. It returns the permit if there is one, or else the expected time until then.
func (t *Table) Cancel(now time.Time, w *Waiter) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case id := <-w.granted:
		return Decision{ID: id}
	default:
	}
	s := t.servers[w.server]
	if s == nil {
		return Decision{}
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(o *Waiter) bool { return o == w })
	return Decision{Delay: s.expectedWait(now)}
}

// Update applies what an instance has in flight.
func (t *Table) Update(now time.Time, instance string, usages ...Usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range usages {
		s := t.serverOf(now, u.Server)
		for _, id := range u.Held {
			p, known := s.permits[id]
			if !known {
				p.at = now
			}
			p.expiresAt = now.Add(TTL)
			s.permits[id] = p
		}
		s.unpermitted[instance] = unpermitted{u.Unpermitted, now.Add(TTL)}
		if u.DeclineLimit > 0 {
			s.lower(now, u.DeclineLimit)
		}
		for _, id := range u.Released {
			s.release(now, id)
		}
		s.expire(now)
		s.grant(now)
	}
}

func (t *Table) serverOf(now time.Time, id galenastair.BackendServerID) *server {
	s := t.servers[id]
	// after a pause another instance may have issued permits
	if s == nil || now.Sub(s.usedAt) > TTL {
		t.dropIdle(now)
		s = &server{permits: map[ID]issued{}, unpermitted: map[string]unpermitted{}, initial: t.inFlight(now, id), knownAt: now.Add(RenewInterval)}
		t.servers[id] = s
	}
	s.usedAt = now
	return s
}

func (t *Table) dropIdle(now time.Time) {
	for id, s := range t.servers {
		if now.Sub(s.usedAt) > TTL {
			delete(t.servers, id)
		}
	}
}

// occupied returns the number of requests that count as in flight.
func (s *server) occupied(now time.Time) int {
	n := len(s.permits)
	for _, u := range s.unpermitted {
		n += u.count
	}
	if now.Before(s.knownAt) {
		n = max(n, s.initial)
	}
	return n
}

// capacity returns the number of requests that the server takes at once.
func (s *server) capacity(now time.Time) int {
	lowered := max(0, s.lowered-int(now.Sub(s.declinedAt)/declineRecovery))
	return max(1, s.limit-lowered)
}

func (s *server) hasRoom(now time.Time) bool {
	return !now.Before(s.pausedUntil) && s.occupied(now) < s.capacity(now)
}

// lower has the server take less than what it had in flight when it declined a request, and nothing new
// for its share of a second.
func (s *server) lower(now time.Time, declineLimit float64) {
	s.lowered = max(0, s.limit-min(s.capacity(now), s.occupied(now))+1)
	s.declinedAt = now
	s.pausedUntil = now.Add(min(maxDeclinePause, time.Duration(float64(time.Second)/declineLimit)))
}

func (s *server) issue(now time.Time) ID {
	id := ID(rand.Uint64() | 1)
	s.permits[id] = issued{now, now.Add(TTL)}
	return id
}

func (s *server) grant(now time.Time) {
	for len(s.waiting) > 0 && s.hasRoom(now) {
		s.waiting[0].granted <- s.issue(now)
		s.waiting = s.waiting[1:]
	}
}

func (s *server) release(now time.Time, id ID) {
	p, known := s.permits[id]
	if !known {
		return
	}
	delete(s.permits, id)
	held := now.Sub(p.at)
	if s.meanHold == 0 {
		s.meanHold = held
	}
	s.meanHold += time.Duration(holdWeight * float64(held-s.meanHold))
}

func (s *server) expire(now time.Time) {
	for id, p := range s.permits {
		if !now.Before(p.expiresAt) {
			delete(s.permits, id)
		}
	}
	for instance, u := range s.unpermitted {
		if !now.Before(u.expiresAt) {
			delete(s.unpermitted, instance)
		}
	}
}

// expectedWait returns the expected time until one more request has a permit.
func (s *server) expectedWait(now time.Time) time.Duration {
	pause := max(0, s.pausedUntil.Sub(now))
	return pause + s.meanHold*time.Duration(len(s.waiting)+1)/time.Duration(s.capacity(now))
}
