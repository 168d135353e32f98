package pool

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"galenastair"
)

// Pool knows the backend servers, what they hold and how they fare.
type Pool struct {
	zone galenastair.AvailabilityZone
	rng  *rand.Rand
	// leaveGrace is for the last copy of a model.
	leaveGrace time.Duration
	// fleet is how many instances send to the same servers.
	fleet func() int

	mu        sync.Mutex
	members   map[galenastair.BackendServerID]*member
	byService map[galenastair.ServiceName][]*member
	byModel   map[galenastair.ModelName][]*member
	paces     map[galenastair.ModelName]*pace
	costs     map[galenastair.ModelName]*cost
	// usual is what requests take over all models.
	usual cost
}

// member is what the pool keeps of one backend server.
type member struct {
	Server
	key   ServerKey
	holds map[galenastair.ModelName]bool
	// heard is when something was learned of a model otherwise than by registration.
	heard map[galenastair.ModelName]time.Time
	// full is until when a model's requests had better go elsewhere.
	full     map[galenastair.ModelName]time.Time
	flights  int
	unread   galenastair.Tokens
	others   Load
	othersAt time.Time
	pace     pace
	health   health
	cache    *cache
	// leaves is when it may have begun to leave.
	leaves time.Time
	// absent is when nothing listened at its address; zero if it has answered since.
	absent time.Time
	limit  limit
	// deferred is until when it takes no more requests, by its limit.
	deferred time.Time
}

// absentFor is how long an engine is taken for ended after nothing listened at its address.
// Its registration stays for seconds; each request that is sent there costs its caller a
// try, and a model whose only copy it had is loaded elsewhere the sooner.
const absentFor = time.Second

func (m *member) isAbsent(now time.Time) bool {
	return !m.absent.IsZero() && now.Sub(m.absent) < absentFor
}

// Absent returns the backend servers at whose addresses nothing listened a moment ago.
func (p *Pool) Absent(now time.Time) []galenastair.BackendServerID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []galenastair.BackendServerID
	for id, m := range p.members {
		if m.isAbsent(now) {
			out = append(out, id)
		}
	}
	return out
}

// Option varies a Pool.
type Option func(*Pool)

// WithRand replaces the source of random draws.
func WithRand(rng *rand.Rand) Option { return func(p *Pool) { p.rng = rng } }

// WithLeaveGrace sets how long a server that is known to leave still gets new work if
// no other has the model; none by default.
func WithLeaveGrace(d time.Duration) Option { return func(p *Pool) { p.leaveGrace = d } }

// WithFleet says how many instances send to the same servers.
func WithFleet(f func() int) Option { return func(p *Pool) { p.fleet = f } }

// New returns a pool that knows no backend server; zone is the instance's own.
func New(zone galenastair.AvailabilityZone, opts ...Option) *Pool {
	p := &Pool{
		zone:      zone,
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		members:   map[galenastair.BackendServerID]*member{},
		byService: map[galenastair.ServiceName][]*member{},
		byModel:   map[galenastair.ModelName][]*member{},
		paces:     map[galenastair.ModelName]*pace{},
		costs:     map[galenastair.ModelName]*cost{},
		usual:     firstCost(),
		fleet:     func() int { return 1 },
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Set adds a backend server or takes in what it says of itself now.
func (p *Pool) Set(now time.Time, s Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[s.ID]
	if m != nil && (m.Born != s.Born || m.Service != s.Service) {
		// a restart under the old id holds and knows nothing of before
		p.drop(m)
		m = nil
	}
	if m == nil {
		m = &member{key: KeyOf(s.ID), holds: map[galenastair.ModelName]bool{}, heard: map[galenastair.ModelName]time.Time{}, full: map[galenastair.ModelName]time.Time{}, cache: newCache()}
		p.members[s.ID] = m
		p.byService[s.Service] = append(p.byService[s.Service], m)
	}
	if s.Leaving && !m.Leaving {
		m.leaves = s.LeavingSince
	}
	if s.Beat < m.Beat {
		return
	}
	m.Server = s
	p.setModels(now, m, held(s.Models))
}

// held names models and, after a slash, their adapters.
func held(models []galenastair.EngineModel) map[galenastair.ModelName]bool {
	out := map[galenastair.ModelName]bool{}
	for _, e := range models {
		out[e.Name] = true
		for _, a := range e.Adapters {
			out[e.Name+"/"+galenastair.ModelName(a)] = true
		}
	}
	return out
}

// heardFor is how long what was learned otherwise goes before a registration: that is
// written every heartbeat of about a second, and was on its way for a while.
const heardFor = 2500 * time.Millisecond

func (p *Pool) setModels(now time.Time, m *member, registered map[galenastair.ModelName]bool) {
	for name, at := range m.heard {
		if now.Sub(at) > heardFor {
			delete(m.heard, name)
		}
	}
	for name := range m.holds {
		if _, heard := m.heard[name]; !heard && !registered[name] {
			p.removeModel(m, name)
		}
	}
	for name := range registered {
		if _, heard := m.heard[name]; !heard {
			p.addModel(m, name)
		}
	}
}

func (p *Pool) addModel(m *member, name galenastair.ModelName) {
	if !m.holds[name] {
		m.holds[name] = true
		p.byModel[name] = append(p.byModel[name], m)
	}
}

func (p *Pool) removeModel(m *member, name galenastair.ModelName) {
	if !m.holds[name] {
		return
	}
	delete(m.holds, name)
	p.byModel[name] = slices.DeleteFunc(p.byModel[name], func(o *member) bool { return o == m })
	if len(p.byModel[name]) == 0 {
		delete(p.byModel, name)
	}
}

// Remove forgets a backend server.
func (p *Pool) Remove(id galenastair.BackendServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[id]; m != nil {
		p.drop(m)
	}
}

func (p *Pool) drop(m *member) {
	for name := range m.holds {
		p.removeModel(m, name)
	}
	delete(p.members, m.ID)
	p.byService[m.Service] = slices.DeleteFunc(p.byService[m.Service], func(o *member) bool { return o == m })
}

// AddModel notes that a server holds a model or adapter, before it says so itself.
func (p *Pool) AddModel(now time.Time, id galenastair.BackendServerID, name galenastair.ModelName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[id]; m != nil {
		m.heard[name] = now
		p.addModel(m, name)
	}
}

// RemoveModel notes that a server said that it does not hold a model or adapter.
func (p *Pool) RemoveModel(now time.Time, id galenastair.BackendServerID, name galenastair.ModelName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[id]; m != nil {
		m.heard[name] = now
		p.removeModel(m, name)
	}
}

// Loads returns what this instance's requests put on each server that has any.
func (p *Pool) Loads() map[galenastair.BackendServerID]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[galenastair.BackendServerID]Load{}
	for id, m := range p.members {
		if m.flights > 0 {
			out[id] = Load{float64(m.flights), float64(m.unread)}
		}
	}
	return out
}

// SetOthers takes in what the other instances' requests put on each server.
func (p *Pool) SetOthers(now time.Time, loads map[ServerKey]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		m.others, m.othersAt = loads[m.key], now
	}
}

// Known says whether any server holds a model or adapter.
func (p *Pool) Known(name galenastair.ModelName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.byModel[name] {
		if !m.Leaving {
			return true
		}
	}
	return false
}

// Usable says whether a server that was chosen may still get the request: it may have begun
// to leave while a connection was made.
func (p *Pool) Usable(now time.Time, id galenastair.BackendServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[id]
	return m != nil && (!m.Leaving || now.Sub(m.leaves) < p.leaveGrace)
}

// Len returns how many backend servers are known.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}
