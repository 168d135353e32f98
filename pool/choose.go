package pool

import (
	"slices"
	"time"

	"galenastair"
	"galenastair/ratelimit"
)

const (
	// zoneShare is the part of the aim that a caller may wait longer for a server of
	// its own availability zone: bytes between zones cost, time within the aim doesn't.
	zoneShare = 0.2
	// failCost is how many aims a certain failure counts as; for a request that can't
	// be repeated a failure is final.
	failCost     = 2
	failCostOnce = 6
	// jitter keeps instances with the same figures from choosing the same server.
	jitter = 0.05
	// defaultAim is used where a route gives none.
	defaultAim = time.Second
)

// Choice is the chosen server and what decided.
type Choice struct {
	Server
	// Foretold is the expected time to the answer or its first event.
	Foretold time.Duration
	// Cached is the prompt tokens that it probably keeps.
	Cached galenastair.Tokens
	// Candidates counts the servers that were compared.
	Candidates int
	// Limit is what the server has named; PerSecond is 0 if nothing.
	Limit ratelimit.Limit
	// Wait is when a server takes requests again where all are deferred.
	Wait   time.Duration
	Reason string
}

// The reasons for a choice or for none.
const (
	ReasonSoonest  = "soonest"
	ReasonProbe    = "tries one that was out"
	ReasonAllOut   = "all are out"
	ReasonLastCopy = "the last copy leaves"
	ReasonNoServer = "no server of the service"
	ReasonNoModel  = "no server holds the model"
	ReasonExcluded = "all were tried"
	ReasonDeferred = "all are at their limits"
)

// Choose picks a server; the reason says why there is none.
func (p *Pool) Choose(now time.Time, q Query) (Choice, bool) {
	q.keys = partKeys(q.Hints)
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates(now, &q)
	ready := slices.DeleteFunc(slices.Clone(candidates), func(m *member) bool { return now.Before(m.deferred) })
	if wait, deferred := deferral(now, candidates); deferred && len(ready) == 0 {
		return Choice{Wait: wait, Reason: ReasonDeferred}, false
	}
	candidates = ready
	if len(candidates) == 0 {
		return Choice{Reason: p.none(now, &q)}, false
	}
	best, reason := p.best(now, &q, candidates)
	if best == nil {
		return Choice{Reason: ReasonExcluded}, false
	}
	return Choice{
		Server:     best.Server,
		Foretold:   p.foretell(now, best, &q),
		Cached:     best.cache.match(q.keys, q.Parts),
		Candidates: len(candidates),
		Limit:      best.limit.withAge(now, best.ID),
		Reason:     reason,
	}, true
}

func (p *Pool) candidates(now time.Time, q *Query) []*member {
	list := p.byService[q.Service]
	if q.engine() {
		list = p.byModel[q.Model]
	}
	var out []*member
	for _, m := range list {
		if m.Service != q.Service || slices.Contains(q.Exclude, m.ID) {
			continue
		}
		if q.engine() && m.isAbsent(now) {
			continue
		}
		out = append(out, m)
	}
	return out
}

func (p *Pool) none(now time.Time, q *Query) string {
	there := func(m *member) bool { return m.Service == q.Service && !m.isAbsent(now) }
	switch {
	case len(p.byService[q.Service]) == 0:
		return ReasonNoServer
	case q.engine() && !slices.ContainsFunc(p.byModel[q.Model], there):
		return ReasonNoModel
	default:
		return ReasonExcluded
	}
}

// best compares the candidates. It is made for one slow, failing or dark server among
// sound ones, which must lose its load at once, and for a whole fleet that is slow, of
// which nothing may be taken out.
func (p *Pool) best(now time.Time, q *Query, candidates []*member) (*member, string) {
	var best, out, leaving *member
	var least, leastOut time.Duration
	candidates = p.sample(now, candidates)
	for _, m := range candidates {
		if m.Leaving {
			if leaving == nil || m.leaves.After(leaving.leaves) {
				leaving = m
			}
			continue
		}
		if m.health.mayProbe(now) && !q.Once {
			return m, ReasonProbe
		}
		score := p.score(now, m, q)
		if m.health.isOut(now) || !m.health.out.IsZero() && q.Once {
			if out == nil || score < leastOut {
				out, leastOut = m, score
			}
			continue
		}
		if best == nil || score < least {
			best, least = m, score
		}
	}
	switch {
	case best != nil:
		return best, ReasonSoonest
	case out != nil:
		return out, ReasonAllOut
	case leaving != nil && now.Sub(leaving.leaves) < p.leaveGrace:
		return leaving, ReasonLastCopy
	}
	return nil, ReasonExcluded
}

const (
	// crowdFrom is from how many instances on a choice is made among a sample.
	crowdFrom = 16
	// sampled is how many servers of the own availability zone are compared, and how many of
	// the others.
	sampled = 2
)

// sample takes some sound candidates by chance where many instances choose. By what each
// knows of the others' requests, some hundred milliseconds old, all would choose the same
// server. Those that are out or leave stay in.
func (p *Pool) sample(now time.Time, candidates []*member) []*member {
	if p.fleet() < crowdFrom || len(candidates) <= sampled {
		return candidates
	}
	p.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	near, far := 0, 0
	return slices.DeleteFunc(candidates, func(m *member) bool {
		if m.Leaving || m.health.isOut(now) || !m.health.out.IsZero() {
			return false
		}
		count := &far
		if m.AvailabilityZone == p.zone {
			count = &near
		}
		*count++
		return *count > sampled
	})
}

// score is the foretold time with what a failure and the way there would cost.
func (p *Pool) score(now time.Time, m *member, q *Query) time.Duration {
	aim := q.Aim
	if aim <= 0 {
		aim = defaultAim
	}
	t := p.foretell(now, m, q)
	if m.AvailabilityZone != p.zone {
		t += time.Duration(zoneShare * float64(aim))
	}
	cost := failCost
	if q.Once {
		cost = failCostOnce
	}
	t += time.Duration(m.health.share * float64(cost) * float64(aim))
	if m.health.stalled(now, t) {
		t += 4 * aim
	}
	if now.Before(m.full[q.Model]) {
		t += 2 * aim
	}
	if m.limit.perSecond > 0 && now.Sub(m.limit.at) < limitProbe {
		t += 2 * aim
	}
	return t + time.Duration(p.rng.Float64()*jitter*float64(aim))
}

func (p *Pool) foretell(now time.Time, m *member, q *Query) time.Duration {
	return time.Duration(float64(m.nominal(now, q)) * m.pace.value(now) * p.paceOf(q).value(now))
}

// paceOf returns the pace of a model, or of a plain service.
func (p *Pool) paceOf(q *Query) *pace {
	name := q.Model
	if !q.engine() {
		name = galenastair.ModelName(q.Service)
	}
	if p.paces[name] == nil {
		p.paces[name] = &pace{}
	}
	return p.paces[name]
}
