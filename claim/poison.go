package claim

import (
	"sync"
	"time"

	"galenastair"
)

// The limits of the table of requests that stop backend servers.
const (
	// trialsBeforeRefusal is the number of backend servers that one request may
	// stop: a second trial tells a bad request from a server that died by chance,
	// and a third would only cost the other organisations one more server.
	trialsBeforeRefusal = 2
	// refusalTerm is how long a request stays refused: long enough that a caller's
	// own retries give up, short enough that a mended model serves it again.
	refusalTerm = 10 * time.Minute
	// poisonLimit bounds the memory of the table to under a megabyte when one
	// organisation sends ever new requests that stop backend servers.
	poisonLimit = 4096
)

// Poison remembers which requests stopped the backend servers that ran them.
type Poison struct {
	mu       sync.Mutex
	stopped  map[Digest]stops
	announce func(Digest)
	trials   int
	term     time.Duration
}

// PoisonOption varies a table.
type PoisonOption func(*Poison)

// WithTrials replaces how many backend servers one request may stop, and how long it
// stays refused then. Where connections break often without a crash, more trials and a
// short term keep sound requests from being refused.
func WithTrials(n int, term time.Duration) PoisonOption {
	return func(p *Poison) { p.trials, p.term = n, term }
}

type stops struct {
	count int
	until time.Time
}

// NewPoison returns an empty table; announce, if not nil, is told each digest to pass on to all instances.
func NewPoison(announce func(Digest), opts ...PoisonOption) *Poison {
	if announce == nil {
		announce = func(Digest) {}
	}
	p := &Poison{stopped: make(map[Digest]stops), announce: announce, trials: trialsBeforeRefusal, term: refusalTerm}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Allow returns a refusal if the request has stopped too many backend servers.
func (p *Poison) Allow(now time.Time, d Digest) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.stopped[d]
	if !ok || !now.Before(s.until) || s.count < p.trials {
		return nil
	}
	return galenastair.Refuse(galenastair.ErrPoison, s.until.Sub(now), "")
}

// Stopped counts that a backend server died while it ran the request; it says whether one more may try it.
//
// Every instance must be told: the caller sends the request again through another.
func (p *Poison) Stopped(now time.Time, d Digest) (retry bool) {
	p.mu.Lock()
	count := p.add(now, d, 1)
	p.mu.Unlock()
	p.announce(d)
	return count < p.trials
}

// Succeeded forgets a request that a backend server has run to its end.
func (p *Poison) Succeeded(d Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.stopped, d)
}

// Heard takes in a digest that another instance announced, once for each backend server stopped.
func (p *Poison) Heard(now time.Time, d Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(now, d, 1)
}

func (p *Poison) add(now time.Time, d Digest, n int) int {
	s := p.stopped[d]
	if !now.Before(s.until) {
		s = stops{}
	}
	if s.count == 0 && len(p.stopped) >= poisonLimit {
		p.makeRoom(now)
	}
	s.count += n
	s.until = now.Add(p.term)
	p.stopped[d] = s
	return s.count
}

// makeRoom drops what has ended, or else the entry that ends first.
func (p *Poison) makeRoom(now time.Time) {
	var first Digest
	for d, s := range p.stopped {
		if !now.Before(s.until) {
			delete(p.stopped, d)
			continue
		}
		if first == "" || s.until.Before(p.stopped[first].until) {
			first = d
		}
	}
	if len(p.stopped) >= poisonLimit {
		delete(p.stopped, first)
	}
}
