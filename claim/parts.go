package claim

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"galenastair"
)

const (
	// defaultMaxPartCrashes is the number of backend servers that requests with one part may crash. It
	// is higher than that of a single request, as a refused part concerns many callers.
	defaultMaxPartCrashes = 4
	// maxPartServers bounds the servers that are remembered for a part.
	maxPartServers = 64
	// tiedCrashes is the number of a part's crashes that another one which explains all others need not
	// explain. Some crashes have other causes, or are observed for one of the parts only.
	tiedCrashes = 2
	// trialWindow is how long after its last crash, and each trialInterval later, a part may be tried that another
	// one with fewer crashes explains.
	trialWindow   = 2 * time.Second
	trialInterval = 30 * time.Second
	// partCompletionWindow is the time after a completion within which crashes are doubted, as servers may be
	// lost for other reasons, and completedPartRefusal how long they refuse the part then.
	partCompletionWindow = 20 * time.Second
	completedPartRefusal = time.Second
)

// PartTracker refuses requests with a part in their prompts that crashes backend servers, though no two
// of them are alike. A part is suspected once several servers have crashed under it, on any instance,
// while no request with it was completed.
type PartTracker struct {
	mu        sync.Mutex
	records   map[Part]*partRecord
	announce  func(PartEvent)
	threshold int
	// completed holds the parts of the requests that were completed lately.
	completed completions[Part]
}

// NewPartTracker returns an empty PartTracker. It calls announce with each event that all instances have to
// know.
func NewPartTracker(announce func(PartEvent)) *PartTracker {
	if announce == nil {
		announce = func(PartEvent) {}
	}
	return &PartTracker{records: map[Part]*partRecord{}, announce: announce, threshold: defaultMaxPartCrashes, completed: completions[Part]{window: partCompletionWindow}}
}

// Allow returns a refusal if one of the parts crashes servers.
func (p *PartTracker) Allow(now time.Time, parts []Part) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if p.suspected(now, part) && !p.explained(now, part, parts) {
			r := p.records[part]
			return galenastair.NewRefusal(galenastair.ErrPoisonRequest, r.refusedFor()-now.Sub(r.lastAt), fmt.Sprintf("part %d", part))
		}
	}
	return nil
}

func (p *PartTracker) suspected(now time.Time, part Part) bool {
	r := p.records[part]
	return r != nil && r.suspect(p.threshold) && now.Sub(r.lastAt) < r.refusedFor()
}

// explained reports whether a suspected part that a request lacks may be the cause of the crashes under
// one of its parts. Such a request is allowed, as its completion clears the blameless part. A part that was
// completed lately is no explanation for one that was not.
func (p *PartTracker) explained(now time.Time, part Part, parts []Part) bool {
	r := p.records[part]
	for other, o := range p.records {
		if slices.Contains(parts, other) || !p.suspected(now, other) || o.completedLately && !r.completedLately {
			continue
		}
		if n := r.unexplainedBy(o); n > min(tiedCrashes, len(r.servers)/4) || len(r.servers)-n < p.threshold {
			continue
		}
		// the part with the most crashes is the likeliest cause, unless a trial shows otherwise
		if len(o.servers) >= len(r.servers) || now.Sub(r.lastAt)%trialInterval < trialWindow {
			return true
		}
	}
	return false
}

// RecordCrash counts a server that crashed before it had answered anything of a request with the parts.
func (p *PartTracker) RecordCrash(now time.Time, parts []Part, server ServerProcess) {
	for _, part := range parts {
		e := PartEvent{part, server, now}
		if p.Apply(now, e) {
			p.announce(e)
		}
	}
}

// RecordSuccess clears the parts of a request that a server has completed, and reports whether crashes were
// known under any of them.
func (p *PartTracker) RecordSuccess(now time.Time, parts []Part) (cleared bool) {
	for _, part := range parts {
		e := PartEvent{Part: part, At: now}
		if p.Apply(now, e) {
			cleared = true
			p.announce(e)
		}
	}
	return cleared
}

// Apply applies an event of this or another instance, and reports whether it was news.
func (p *PartTracker) Apply(now time.Time, e PartEvent) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.records[e.Part]
	if e.IsClear() {
		delete(p.records, e.Part)
		p.completed.add(now, e.Part)
		return r != nil
	}
	if r == nil || r.expired(now) {
		p.makeRoom(now)
		r = &partRecord{completedLately: p.completed.contains(now, e.Part)}
		p.records[e.Part] = r
	}
	return r.add(e)
}

// makeRoom removes expired records or, if there are none, the one with the oldest crash of those with the
// fewest.
func (p *PartTracker) makeRoom(now time.Time) {
	if len(p.records) < maxPoisonEntries {
		return
	}
	var oldest Part
	for part, r := range p.records {
		if r.expired(now) {
			delete(p.records, part)
			continue
		}
		if o := p.records[oldest]; o == nil || cmp.Or(cmp.Compare(len(r.servers), len(o.servers)), r.lastAt.Compare(o.lastAt)) < 0 {
			oldest = part
		}
	}
	if len(p.records) >= maxPoisonEntries {
		delete(p.records, oldest)
	}
}

// Restore applies the crashes that an earlier leader has stored. A clock that differs from the leader's
// must not make them outlast a refusal.
func (p *PartTracker) Restore(now time.Time, events []PartEvent) {
	for _, e := range events {
		if e.At.After(now) {
			e.At = now
		}
		p.Apply(now, e)
	}
}

// Suspected returns the crashes under all parts that are suspected, in a fixed order. Those that were completed
// lately are left out: who learns only of their crashes would refuse them for long.
func (p *PartTracker) Suspected(now time.Time) []PartEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []PartEvent
	for part := range p.records {
		if p.suspected(now, part) && !p.records[part].completedLately {
			out = append(out, p.records[part].events(part)...)
		}
	}
	slices.SortFunc(out, func(a, b PartEvent) int {
		return cmp.Or(cmp.Compare(a.Part, b.Part), a.At.Compare(b.At), cmp.Compare(a.Server, b.Server))
	})
	return out
}

// events returns the crashes of a record, with the times of the first and the last.
func (r *partRecord) events(part Part) []PartEvent {
	out := make([]PartEvent, 0, len(r.servers))
	for i, s := range r.servers {
		at := r.lastAt
		if i == 0 {
			at = r.firstAt
		}
		out = append(out, PartEvent{part, s, at})
	}
	return out
}
