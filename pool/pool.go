package pool

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"galenastair"
	"galenastair/speed"
)

// Pool tracks the backend servers, their models, load and health.
type Pool struct {
	zone galenastair.AvailabilityZone
	rng  *rand.Rand
	// leaveGrace applies to the last copy of a model.
	leaveGrace time.Duration
	// evacuationGrace is the same for a server whose availability zone is evacuated.
	evacuationGrace time.Duration
	regions         map[galenastair.AvailabilityZone]galenastair.Region
	// fleetSize returns the number of instances that send to the same servers.
	fleetSize func() int

	mu          sync.Mutex
	backends    map[galenastair.BackendServerID]*backend
	byService   map[galenastair.ServiceName][]*backend
	byModel     map[galenastair.ModelName][]*backend
	departed    departed
	modelRatios map[galenastair.ModelName]*latencyRatio
	costs       map[galenastair.ModelName]*cost
	// evacuated holds the earliest time at which each evacuation may have begun.
	evacuated  map[galenastair.AvailabilityZone]time.Time
	coldStarts map[galenastair.ServiceName]ColdStart
	brittle    map[galenastair.ServiceName]brittleState
	// speeds is nil if all servers count as equally fast.
	speeds            *speed.Table
	speedObservations []speed.Observation
	// overall is the mean cost over all models.
	overall cost
}

// backend is the state of one backend server.
type backend struct {
	Server
	key   ServerKey
	holds map[galenastair.ModelName]bool
	// overriddenAt is when a model was added or removed by other means than a registration.
	overriddenAt map[galenastair.ModelName]time.Time
	// fullUntil is the time until which requests for a model should go elsewhere.
	fullUntil     map[galenastair.ModelName]time.Time
	inFlight      int
	pendingTokens galenastair.Tokens
	peerLoad      Load
	peerLoadAt    time.Time
	ratio         latencyRatio
	speedKey      speed.Key
	// factor is the speed factor, 1 if none is known.
	factor speed.Ratio
	health health
	cache  *cache
	// leaveStart is the earliest time at which the server may have started to leave.
	leaveStart time.Time
	// downAt is when the server last refused a connection; zero if it has answered since.
	downAt time.Time
	limit  limit
	// throttledUntil is the time until which the server's rate limit allows no more requests.
	throttledUntil time.Time
	announced
	// coldUntil is the time until which the service's ColdStart limits the server.
	coldUntil time.Time
}

// downTTL is how long an engine counts as down after it refused a connection. Its registration
// stays for some seconds, during which each request sent there would cost its caller an attempt.
// Reporting it also gets a model that only it held loaded elsewhere sooner.
const downTTL = time.Second

func (b *backend) isDown(now time.Time) bool {
	return !b.downAt.IsZero() && now.Sub(b.downAt) < downTTL
}

// Down returns the backend servers that have just refused a connection, or have announced in an answer
// that they are leaving.
func (p *Pool) Down(now time.Time) []galenastair.BackendServerID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []galenastair.BackendServerID
	for id, b := range p.backends {
		if b.isDown(now) || b.leaveAnnounced {
			out = append(out, id)
		}
	}
	return out
}

// ForgetFailures forgets the failures of all servers of a service, as this instance's own links have
// failed.
func (p *Pool) ForgetFailures(s galenastair.ServiceName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.byService[s] {
		b.downAt = time.Time{}
		b.health.forgetFailures()
	}
}

// Option configures a Pool.
type Option func(*Pool)

// WithRand replaces the random source.
func WithRand(rng *rand.Rand) Option { return func(p *Pool) { p.rng = rng } }

// WithLeaveGrace sets how long a leaving server still gets new requests if no other server has the
// model. The default is 0.
func WithLeaveGrace(d time.Duration) Option { return func(p *Pool) { p.leaveGrace = d } }

// WithEvacuationGrace sets how long a server in an evacuated availability zone still gets new
// requests if no other server has the model. The default is 0.
func WithEvacuationGrace(d time.Duration) Option { return func(p *Pool) { p.evacuationGrace = d } }

// WithRegions sets the regions of the availability zones, which queries with Regions need.
func WithRegions(r map[galenastair.AvailabilityZone]galenastair.Region) Option {
	return func(p *Pool) { p.regions = r }
}

// WithFleetSize sets a function that returns the number of instances that send to the same
// servers.
func WithFleetSize(f func() int) Option { return func(p *Pool) { p.fleetSize = f } }

// New returns an empty pool for an instance in the given availability zone.
func New(zone galenastair.AvailabilityZone, opts ...Option) *Pool {
	p := &Pool{
		zone:        zone,
		rng:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		backends:    map[galenastair.BackendServerID]*backend{},
		byService:   map[galenastair.ServiceName][]*backend{},
		byModel:     map[galenastair.ModelName][]*backend{},
		modelRatios: map[galenastair.ModelName]*latencyRatio{},
		costs:       map[galenastair.ModelName]*cost{},
		brittle:     map[galenastair.ServiceName]brittleState{},
		overall:     initialCost(),
		fleetSize:   func() int { return 1 },
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Set adds a backend server or applies its new registration.
func (p *Pool) Set(now time.Time, s Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backends[s.ID]
	if b != nil && (b.Incarnation != s.Incarnation || b.Service != s.Service) {
		// a server that restarted with the same ID holds none of its previous models
		p.remove(b)
		p.dropSpeed(b)
		b = nil
	}
	if b == nil {
		b = &backend{key: KeyOf(s.ID), holds: map[galenastair.ModelName]bool{}, overriddenAt: map[galenastair.ModelName]time.Time{}, fullUntil: map[galenastair.ModelName]time.Time{}, cache: newCache()}
		b.speedKey, b.factor = speed.KeyOf(s.ID, s.Incarnation), p.speedFactor(s)
		b.announced, b.leaveStart = p.departed.take(s.ID, s.Incarnation)
		p.backends[s.ID] = b
		p.byService[s.Service] = append(p.byService[s.Service], b)
	}
	if s.Leaving && !b.Leaving && (!b.leaveAnnounced || s.LeavingSince.Before(b.leaveStart)) {
		b.leaveStart = s.LeavingSince
	}
	if s.Heartbeat < b.Heartbeat {
		return
	}
	b.Server = s
	b.extendCold(s.ColdUntil)
	p.setModels(now, b, modelNames(s.Models))
}

// modelNames returns the names of the models, and MODEL/ADAPTER for each adapter.
func modelNames(models []galenastair.LoadedModel) map[galenastair.ModelName]bool {
	out := map[galenastair.ModelName]bool{}
	for _, e := range models {
		out[e.Name] = true
		for _, a := range e.Adapters {
			out[e.Name+"/"+galenastair.ModelName(a)] = true
		}
	}
	return out
}

// overrideTTL is how long AddModel and RemoveModel take precedence over registrations.
// Registrations are written about once per second and take time to arrive.
const overrideTTL = 2500 * time.Millisecond

func (p *Pool) setModels(now time.Time, b *backend, registered map[galenastair.ModelName]bool) {
	for name, at := range b.overriddenAt {
		if now.Sub(at) > overrideTTL {
			delete(b.overriddenAt, name)
		}
	}
	for name := range b.holds {
		if _, overridden := b.overriddenAt[name]; !overridden && !registered[name] {
			p.removeModel(b, name)
		}
	}
	for name := range registered {
		if _, overridden := b.overriddenAt[name]; !overridden {
			p.addModel(b, name)
		}
	}
}

func (p *Pool) addModel(b *backend, name galenastair.ModelName) {
	if !b.holds[name] {
		b.holds[name] = true
		p.byModel[name] = append(p.byModel[name], b)
	}
}

func (p *Pool) removeModel(b *backend, name galenastair.ModelName) {
	if !b.holds[name] {
		return
	}
	delete(b.holds, name)
	p.byModel[name] = slices.DeleteFunc(p.byModel[name], func(o *backend) bool { return o == b })
	if len(p.byModel[name]) == 0 {
		delete(p.byModel, name)
	}
}

// Remove removes a backend server.
func (p *Pool) Remove(id galenastair.BackendServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		p.remove(b)
	}
}

func (p *Pool) remove(b *backend) {
	for name := range b.holds {
		p.removeModel(b, name)
	}
	delete(p.backends, b.ID)
	p.departed.add(b)
	p.byService[b.Service] = slices.DeleteFunc(p.byService[b.Service], func(o *backend) bool { return o == b })
}

// AddModel records that a server holds a model or adapter, before its registration shows it.
func (p *Pool) AddModel(now time.Time, id galenastair.BackendServerID, name galenastair.ModelName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.overriddenAt[name] = now
		p.addModel(b, name)
	}
}

// RemoveModel records that a server has answered that it does not hold a model or adapter.
func (p *Pool) RemoveModel(now time.Time, id galenastair.BackendServerID, name galenastair.ModelName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.overriddenAt[name] = now
		p.removeModel(b, name)
	}
}

// Loads returns the load of this instance's requests on each server that has any.
func (p *Pool) Loads() map[galenastair.BackendServerID]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[galenastair.BackendServerID]Load{}
	for id, b := range p.backends {
		if b.inFlight > 0 {
			out[id] = Load{float64(b.inFlight), float64(b.pendingTokens)}
		}
	}
	return out
}

// SetPeerLoads records the load of the other instances' requests on each server.
func (p *Pool) SetPeerLoads(now time.Time, loads map[ServerKey]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.backends {
		b.peerLoad, b.peerLoadAt = loads[b.key], now
	}
}

// HasModel reports whether a server that is not withdrawn holds a model or adapter.
func (p *Pool) HasModel(name galenastair.ModelName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.byModel[name] {
		if !p.isWithdrawn(b) {
			return true
		}
	}
	return false
}

// Usable reports whether a server that was chosen may still get the request. It may have been
// withdrawn, have ended, or have asked for a backoff, while the connection was set up.
func (p *Pool) Usable(now time.Time, id galenastair.BackendServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backends[id]
	if b == nil || now.Before(b.backoffUntil) || !b.GoneAt.IsZero() && !now.Before(b.GoneAt) {
		return false
	}
	end, withdrawn := p.withdrawalEnd(b)
	return !withdrawn || now.Before(end)
}

// SampleAddresses returns the addresses of up to n random servers of a service that are not withdrawn.
func (p *Pool) SampleAddresses(s galenastair.ServiceName, n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, b := range p.byService[s] {
		if !p.isWithdrawn(b) {
			out = append(out, b.Address)
		}
	}
	p.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// Len returns the number of backend servers.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.backends)
}
