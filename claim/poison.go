package claim

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"galenastair"
)

// Limits of PoisonTracker.
const (
	// defaultMaxCrashes is the number of backend servers that one request may crash. The
	// second try distinguishes a bad request from a server that failed by chance; a third
	// would only cost the other organisations one more server.
	defaultMaxCrashes = 2
	// refusalDuration is how long a request is refused. It is long enough for a caller's
	// retries to end and short enough for the request to be served soon after the model is fixed.
	// Crashes count for as long, as a request that crashes servers may come seldom.
	refusalDuration = 10 * time.Minute
	// maxPoisonEntries bounds the tracker's memory to less than 3 MB when an organisation
	// keeps sending different requests, also ones that crash backend servers.
	maxPoisonEntries = 4096
)

// ServerProcess identifies one process of a backend server, from its start to its end.
type ServerProcess string

// completedServer stands for the server in the announcement of a completion. The name of a process has an "@".
const completedServer ServerProcess = "completed"

// Crash is a backend server's failure to complete a response, or the completion of the request, which
// clears its crashes. Server is empty if unknown.
type Crash struct {
	Digest Digest
	Server ServerProcess
}

// Clearance returns the announcement that a request was completed.
func Clearance(d Digest) Crash { return Crash{d, completedServer} }

// IsClear reports whether the request was completed.
func (c Crash) IsClear() bool { return c.Server == completedServer }

// PoisonTracker counts the backend servers that crashed while they ran a request, by the
// digest of the request, and refuses a request that has crashed too many.
type PoisonTracker struct {
	mu         sync.Mutex
	crashes    map[Digest]crashRecord
	announce   func(Crash)
	maxCrashes int
	completed  completions[Digest]
}

// PoisonOption configures a PoisonTracker.
type PoisonOption func(*PoisonTracker)

// WithCrashLimit sets how many backend servers one request may crash. Where connections often
// break without a crash, a higher limit prevents the refusal of valid requests.
func WithCrashLimit(n int) PoisonOption { return func(p *PoisonTracker) { p.maxCrashes = n } }

// WithCompletionWindow sets the time after a completion within which crashes of the same request
// must span some time to count. The default is the duration of a refusal.
func WithCompletionWindow(d time.Duration) PoisonOption {
	return func(p *PoisonTracker) { p.completed.window = d }
}

// crashRecord holds the crashes of a request since it was last completed.
type crashRecord struct {
	servers []ServerProcess
	// completedLately reports that the request was completed within the completion window before.
	completedLately bool
	// firstAt and lastAt are the times of the first and the last crash.
	firstAt, lastAt time.Time
	expiresAt       time.Time
}

// refused reports whether the request is refused. The crashes of one that was completed lately must span
// some time: a request that is repeated all the time is running on every server that is lost in an outage.
func (r crashRecord) refused(now time.Time, maxCrashes int) bool {
	if !now.Before(r.expiresAt) || len(r.servers) < maxCrashes {
		return false
	}
	return !r.completedLately || r.lastAt.Sub(r.firstAt) >= minCrashSpan
}

// NewPoisonTracker returns an empty PoisonTracker. It calls announce, if not nil, with each crash
// that this instance is the first to record, and each completion that clears crashes, to be passed
// on to all instances.
func NewPoisonTracker(announce func(Crash), opts ...PoisonOption) *PoisonTracker {
	if announce == nil {
		announce = func(Crash) {}
	}
	p := &PoisonTracker{crashes: make(map[Digest]crashRecord), announce: announce, maxCrashes: defaultMaxCrashes, completed: completions[Digest]{window: refusalDuration}}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Allow returns a refusal if the request has crashed too many backend servers.
func (p *PoisonTracker) Allow(now time.Time, d Digest) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.crashes[d]
	if !s.refused(now, p.maxCrashes) {
		return nil
	}
	return galenastair.NewRefusal(galenastair.ErrPoisonRequest, s.expiresAt.Sub(now), "")
}

// RecordCrash counts a backend server that crashed while it ran the request, and reports
// whether the request may be tried on another one.
//
// The crash is announced to every instance, since the caller may repeat the request through
// another instance, which would otherwise start counting from zero.
func (p *PoisonTracker) RecordCrash(now time.Time, c Crash) (retry bool) {
	p.mu.Lock()
	isNew := p.add(now, c)
	refused := p.crashes[c.Digest].refused(now, p.maxCrashes)
	p.mu.Unlock()
	if isNew {
		p.announce(c)
	}
	return !refused
}

// RecordSuccess records that a backend server has completed the request, and reports whether crashes were
// known, which no longer count on any instance.
func (p *PoisonTracker) RecordSuccess(now time.Time, d Digest) (cleared bool) {
	p.mu.Lock()
	cleared = p.clear(now, d)
	p.mu.Unlock()
	if cleared {
		p.announce(Clearance(d))
	}
	return cleared
}

func (p *PoisonTracker) clear(now time.Time, d Digest) bool {
	_, known := p.crashes[d]
	delete(p.crashes, d)
	p.completed.add(now, d)
	return known
}

// RecordRemoteCrash counts a crash, or applies a clearance, that another instance announced.
func (p *PoisonTracker) RecordRemoteCrash(now time.Time, c Crash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.IsClear() {
		p.clear(now, c.Digest)
		return
	}
	p.add(now, c)
}

// RestoreRefused refuses requests again that another instance refused at the given time.
func (p *PoisonTracker) RestoreRefused(now, at time.Time, crashes []Crash) {
	if now.Sub(at) >= refusalDuration {
		return
	}
	for _, c := range crashes {
		p.RecordRemoteCrash(now, c)
	}
}

// Refused returns the crashes of all requests that are refused, in a fixed order.
func (p *PoisonTracker) Refused(now time.Time) []Crash {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Crash
	for d, r := range p.crashes {
		if !r.refused(now, p.maxCrashes) {
			continue
		}
		for _, server := range r.servers {
			out = append(out, Crash{d, server})
		}
	}
	slices.SortFunc(out, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.Digest, b.Digest), cmp.Compare(a.Server, b.Server)) })
	return out
}

// add counts a crash, once for each known server, and reports whether it was not known yet. A
// server that breaks off many responses says nothing about the requests.
func (p *PoisonTracker) add(now time.Time, c Crash) bool {
	s := p.crashes[c.Digest]
	completedLately := p.completed.contains(now, c.Digest)
	outage := len(s.servers) >= p.maxCrashes && !s.refused(now, p.maxCrashes)
	if !now.Before(s.expiresAt) || outage && !completedLately {
		s = crashRecord{firstAt: now, completedLately: completedLately}
	}
	if c.Server != "" && slices.Contains(s.servers, c.Server) {
		return false
	}
	if len(s.servers) == 0 && len(p.crashes) >= maxPoisonEntries {
		p.evict(now)
	}
	if len(s.servers) < p.maxCrashes {
		s.servers = append(s.servers, c.Server)
	}
	s.lastAt = now
	s.expiresAt = now.Add(refusalDuration)
	p.crashes[c.Digest] = s
	return true
}

// evict removes expired entries, or if there are none, the one that expires first of those with the fewest
// crashes.
func (p *PoisonTracker) evict(now time.Time) {
	var first Digest
	for d, s := range p.crashes {
		if !now.Before(s.expiresAt) {
			delete(p.crashes, d)
			continue
		}
		f := p.crashes[first]
		if first == "" || cmp.Or(cmp.Compare(len(s.servers), len(f.servers)), s.expiresAt.Compare(f.expiresAt)) < 0 {
			first = d
		}
	}
	if len(p.crashes) >= maxPoisonEntries {
		delete(p.crashes, first)
	}
}
