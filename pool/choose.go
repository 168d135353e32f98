package pool

import (
	"cmp"
	"slices"
	"time"

	"galenastair"
	"galenastair/ratelimit"
)

const (
	// crossZonePenalty is the fraction of the target latency, or of the longest time between two events
	// of a stream if that is shorter, that a request may wait longer to stay in its own availability
	// zone. Traffic between zones costs money, while latency within the target costs nothing.
	crossZonePenalty = 0.2
	// failurePenalty is the cost of a certain failure, in multiples of the target latency. For a
	// request that cannot be repeated, a failure is final and costs more.
	failurePenalty        = 2
	failurePenaltyNoRetry = 6
	// jitter keeps instances with the same data from choosing the same server.
	jitter = 0.05
	// defaultTargetLatency applies to routes without a target latency.
	defaultTargetLatency = time.Second
)

// Choice is the chosen server and the reason for it.
type Choice struct {
	Server
	// PredictedLatency is the expected time to the answer or its first event.
	PredictedLatency time.Duration
	// QueueTime is the part of it that is due to other requests.
	QueueTime time.Duration
	// CachedTokens is the number of prompt tokens that the server probably has cached.
	CachedTokens galenastair.Tokens
	// Candidates is the number of servers that were considered, and Alternatives the number of those that
	// are not withdrawn and were not chosen.
	Candidates, Alternatives int
	// Limit is the rate limit that the server has advertised; its PerSecond is 0 if there is none.
	Limit ratelimit.Limit
	// MaxInFlight is the number of requests of all instances that may be in flight at the server; 0 for
	// any number.
	MaxInFlight int
	// RetryAfter is the time until a server accepts requests again, if all refuse them for a while.
	RetryAfter time.Duration
	Reason     string
}

// Reasons for choosing a server, or for choosing none.
const (
	ReasonLowestLatency = "soonest"
	ReasonProbe         = "probe of an ejected server"
	ReasonAllEjected    = "all servers are ejected"
	ReasonLastCopy      = "last copy, on a withdrawn server"
	ReasonNoServer      = "no server for the service"
	ReasonNoModel       = "no server holds the model"
	ReasonExcluded      = "all were tried"
	ReasonNoVersion     = "no server of the stream's software version"
	ReasonNewVersion    = "only servers of a software version at which no stream may begin yet"
	ReasonThrottled     = "all are at their limits or want no requests"
)

// Choose picks a server for a request. If there is none, the reason says why.
func (p *Pool) Choose(now time.Time, q Query) (Choice, bool) {
	q.keys = prefixKeys(q.RequestHints)
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates, wait := p.splitRefusing(now, p.candidates(now, &q))
	staying := p.countStaying(candidates)
	best, reason := p.best(now, &q, candidates)
	switch {
	case best == nil && wait > 0:
		return Choice{RetryAfter: wait, Reason: ReasonThrottled}, false
	case best == nil:
		return Choice{Reason: p.noneReason(now, &q)}, false
	}
	return Choice{
		Server:           best.Server,
		PredictedLatency: p.predictLatency(now, best, &q),
		QueueTime:        p.queueTime(now, best, &q),
		CachedTokens:     best.cache.match(q.keys, q.PromptParts),
		Candidates:       len(candidates),
		Alternatives:     staying - p.countStaying([]*backend{best}),
		Limit:            p.limitOf(now, best),
		MaxInFlight:      p.maxInFlight(now, best),
		Reason:           reason,
	}, true
}

func (p *Pool) candidates(now time.Time, q *Query) []*backend {
	var out []*backend
	for _, b := range p.holders(q) {
		if b.Service != q.Service || slices.Contains(q.Exclude, b.ID) {
			continue
		}
		if q.engine() && b.isDown(now) || !p.inRegions(b, q.Regions) || !q.allowsVersion(b.Version) {
			continue
		}
		if !p.endsBeforeServer(now, b, q) {
			continue
		}
		out = append(out, b)
	}
	return out
}

// holders returns the servers that hold what a request needs.
func (p *Pool) holders(q *Query) []*backend {
	if q.engine() {
		return p.byModel[q.Model]
	}
	return p.byService[q.Service]
}

// splitRefusing returns the candidates that accept requests, and the time until the first of the others
// does that is not withdrawn, 0 if there is none.
func (p *Pool) splitRefusing(now time.Time, candidates []*backend) ([]*backend, time.Duration) {
	var accepting []*backend
	var wait time.Duration
	for _, b := range candidates {
		left := b.refusalLeft(now)
		switch {
		case left == 0:
			accepting = append(accepting, b)
		case !p.isWithdrawn(b) && (wait == 0 || left < wait):
			wait = left
		}
	}
	return accepting, wait
}

// countStaying returns how many servers are not withdrawn.
func (p *Pool) countStaying(servers []*backend) int {
	n := 0
	for _, b := range servers {
		if !p.isWithdrawn(b) {
			n++
		}
	}
	return n
}

func (p *Pool) noneReason(now time.Time, q *Query) string {
	inService := func(b *backend) bool { return !p.isWithdrawn(b) && p.inRegions(b, q.Regions) }
	available := func(b *backend) bool { return b.Service == q.Service && !b.isDown(now) && inService(b) }
	isNew := func(b *backend) bool {
		return available(b) && q.Version == nil && !q.allowsVersion(b.Version) && !slices.Contains(q.Exclude, b.ID)
	}
	switch {
	case !slices.ContainsFunc(p.byService[q.Service], inService):
		return ReasonNoServer
	case q.Version != nil && len(p.candidates(now, q)) == 0:
		return ReasonNoVersion
	case slices.ContainsFunc(p.holders(q), isNew):
		return ReasonNewVersion
	case q.engine() && !slices.ContainsFunc(p.byModel[q.Model], available):
		return ReasonNoModel
	default:
		return ReasonExcluded
	}
}

// best compares the candidates. A single server that is slow, failing or unresponsive among
// healthy ones must lose its load at once. If all servers are slow, none must be removed.
func (p *Pool) best(now time.Time, q *Query, candidates []*backend) (*backend, string) {
	var best, ejected, withdrawn *backend
	var bestScore, ejectedScore time.Duration
	var withdrawnEnd time.Time
	if q.Spread {
		candidates = p.spread(now, q, candidates)
	} else {
		candidates = p.sample(now, candidates)
	}
	for _, b := range candidates {
		if end, ok := p.withdrawalEnd(b); ok {
			if withdrawn == nil || end.After(withdrawnEnd) {
				withdrawn, withdrawnEnd = b, end
			}
			continue
		}
		if b.health.mayProbe(now) && !q.NoRetry {
			return b, ReasonProbe
		}
		score := p.score(now, b, q)
		if b.health.isEjected(now) || !b.health.ejectedUntil.IsZero() && q.NoRetry {
			if ejected == nil || score < ejectedScore {
				ejected, ejectedScore = b, score
			}
			continue
		}
		if best == nil || score < bestScore {
			best, bestScore = b, score
		}
	}
	switch {
	case best != nil:
		return best, ReasonLowestLatency
	case ejected != nil:
		return ejected, ReasonAllEjected
	case withdrawn != nil && now.Before(withdrawnEnd):
		return withdrawn, ReasonLastCopy
	}
	return nil, ReasonExcluded
}

const (
	// minFleetToSample is the number of instances from which only a sample of the candidates is
	// compared.
	minFleetToSample = 16
	// sampleSize is the number of servers sampled in the local availability zone, and in all
	// others together.
	sampleSize = 2
)

// sample keeps a random sample of the healthy candidates in a large fleet. Instances know the load
// of their peers only with a delay of some hundred milliseconds, so without sampling they would
// all choose the same server. Servers that are ejected or withdrawn are kept.
func (p *Pool) sample(now time.Time, candidates []*backend) []*backend {
	if p.fleetSize() < minFleetToSample || len(candidates) <= sampleSize {
		return candidates
	}
	p.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	local, remote := 0, 0
	return slices.DeleteFunc(candidates, func(b *backend) bool {
		if p.isWithdrawn(b) || b.health.isEjected(now) || !b.health.ejectedUntil.IsZero() {
			return false
		}
		count := &remote
		if b.AvailabilityZone == p.zone {
			count = &local
		}
		*count++
		return *count > sampleSize
	})
}

// score returns the predicted latency plus penalties for failures, limits and crossing zones.
func (p *Pool) score(now time.Time, b *backend, q *Query) time.Duration {
	target := q.TargetLatency
	if target <= 0 {
		target = defaultTargetLatency
	}
	t := p.predictLatency(now, b, q)
	if b.AvailabilityZone != p.zone {
		t += time.Duration(crossZonePenalty * float64(min(target, cmp.Or(q.TargetEventGap, target))))
	}
	cost := failurePenalty
	if q.NoRetry {
		cost = failurePenaltyNoRetry
	}
	t += time.Duration(b.health.failureRate * float64(cost) * float64(target))
	if b.health.stalled(now, t) {
		t += 4 * target
	}
	if now.Before(b.fullUntil[q.Model]) {
		t += 2 * target
	}
	if b.limit.perSecond > 0 && now.Sub(b.limit.at) < limitProbeAge {
		t += 2 * target
	}
	return t + time.Duration(p.rng.Float64()*jitter*float64(target))
}

func (p *Pool) predictLatency(now time.Time, b *backend, q *Query) time.Duration {
	return time.Duration(float64(b.nominal(now, q)) * float64(b.factor) * b.ratio.value(now) * p.modelRatio(q).value(now))
}

// modelRatio returns the latency ratio of a model, or of a service without models.
func (p *Pool) modelRatio(q *Query) *latencyRatio {
	name := q.Model
	if !q.engine() {
		name = galenastair.ModelName(q.Service)
	}
	if p.modelRatios[name] == nil {
		p.modelRatios[name] = &latencyRatio{}
	}
	return p.modelRatios[name]
}
