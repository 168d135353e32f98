package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"galenastair"
	"galenastair/route"
)

// Dispatcher lets the goroutines of traffic wait for their turn.
type Dispatcher struct {
	clock galenastair.Clock

	mu       sync.Mutex
	servers  map[galenastair.BackendServerID]Server
	ready    map[galenastair.BackendServerID]map[galenastair.ModelName]bool
	inFlight map[galenastair.BackendServerID]int
}

// Option varies a Dispatcher.
type Option func(*Dispatcher)

// WithClock replaces the clock of the machine.
func WithClock(c galenastair.Clock) Option {
	return func(d *Dispatcher) { d.clock = c }
}

// New returns a dispatcher that knows no backend server yet.
func New(opts ...Option) *Dispatcher {
	d := &Dispatcher{
		clock:    galenastair.SystemClock{},
		servers:  map[galenastair.BackendServerID]Server{},
		ready:    map[galenastair.BackendServerID]map[galenastair.ModelName]bool{},
		inFlight: map[galenastair.BackendServerID]int{},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// SetServers replaces the list of model engines.
func (d *Dispatcher) SetServers(servers []Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = make(map[galenastair.BackendServerID]Server, len(servers))
	for _, s := range servers {
		d.servers[s.ID] = s
	}
}

// Report takes in what an engine said about itself.
func (d *Dispatcher) Report(r galenastair.EngineReport) {
	ready := map[galenastair.ModelName]bool{}
	for _, l := range r.Loaded {
		if l.State == galenastair.Ready {
			ready[l.Weight.Name] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready[r.BackendServer] = ready
}

// Acquire waits until the request is granted a backend server or refused.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *Server
	for id, s := range d.servers {
		if s.Leaving || !d.ready[id][r.Model] || slices.Contains(r.Exclude, id) {
			continue
		}
		if best == nil || d.inFlight[id] < d.inFlight[best.ID] {
			best = &s
		}
	}
	if best == nil {
		return nil, galenastair.Refuse(galenastair.ErrNoBackendServer, time.Second, string(r.Model))
	}
	d.inFlight[best.ID]++
	return &Grant{
		Choice: Choice{Server: best.ID, Address: best.Address, Reason: route.BetterOfTwo},
		free:   d.release,
	}, nil
}

func (d *Dispatcher) release(c Choice, _ Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[c.Server]--
}

// Grant is the right to send one request to one backend server.
type Grant struct {
	Choice
	free func(Choice, Result)
	once sync.Once
}

// Release ends the grant; calls after the first do nothing.
func (g *Grant) Release(res Result) {
	g.once.Do(func() { g.free(g.Choice, res) })
}
