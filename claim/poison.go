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
}

type stops struct {
	count int
	until time.Time
}

// NewPoison returns an empty table; announce, if not nil, is told each digest to pass on to all instances.
func NewPoison(announce func(Digest)) *Poison {
	if announce == nil {
		announce = func(Digest) {}
	}
	return &Poison{stopped: make(map[Digest]stops), announce: announce}
}

// Allow returns a refusal if the request has stopped too many backend servers.
func (p *Poison) Allow(now time.Time, d Digest) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.stopped[d]
	if !ok || !now.Before(s.until) || s.count < trialsBeforeRefusal {
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
	return count < trialsBeforeRefusal
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
	s.until = now.Add(refusalTerm)
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
