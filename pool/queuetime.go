package pool

import "time"

const (
	// minQueueRatio and maxQueueRatio bound the effect of the latency ratio on the queue. The ratio
	// learns from few answers of a server, some of which met prompts that this instance did not know of.
	minQueueRatio = 0.5
	maxQueueRatio = 2
)

// queueTime is the part of the predicted latency of a server that is due to other requests: the next
// request at the server would have it as well.
func (p *Pool) queueTime(now time.Time, b *backend, q *Query) time.Duration {
	own := plainServiceTime
	if q.engine() {
		tokens := float64(q.PromptTokens - b.cache.match(q.keys, q.PromptParts))
		own = time.Duration(tokens/prefillTokensPerSecond*float64(time.Second)) + 2*(decodeStep+decodeStepPerRequest)
	}
	ratio := min(maxQueueRatio, max(minQueueRatio, b.ratio.value(now)*p.modelRatio(q).value(now)))
	return time.Duration(ratio * float64(max(0, b.nominal(now, q)-own)))
}

// isPenalised reports whether a server has a handicap other than its load.
func (p *Pool) isPenalised(now time.Time, b *backend, q *Query) bool {
	target := q.TargetLatency
	if target <= 0 {
		target = defaultTargetLatency
	}
	return p.isWithdrawn(b) || !b.health.ejectedUntil.IsZero() || p.score(now, b, q) > p.predictLatency(now, b, q)+target/2
}

// spread returns one random candidate, if any has no handicap, or else all.
func (p *Pool) spread(now time.Time, q *Query, candidates []*backend) []*backend {
	var kept *backend
	count := 0
	for _, b := range candidates {
		if p.isPenalised(now, b, q) {
			continue
		}
		count++
		if p.rng.IntN(count) == 0 {
			kept = b
		}
	}
	if kept == nil {
		return candidates
	}
	return []*backend{kept}
}
