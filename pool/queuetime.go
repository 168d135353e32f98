package pool

import "time"

// queueTime is the part of a predicted latency that is due to other requests: the next request at the
// server would have it as well. A ratio above 1 counts as queue, as it may come from prompts that this
// instance does not know of yet.
func (p *Pool) queueTime(now time.Time, b *backend, q *Query, predicted time.Duration) time.Duration {
	own := plainServiceTime
	if q.engine() {
		tokens := float64(q.PromptTokens - b.cache.match(q.keys, q.PromptParts))
		own = time.Duration(tokens/prefillTokensPerSecond*float64(time.Second)) + 2*(decodeStep+decodeStepPerRequest)
	}
	ratio := min(1, b.ratio.value(now)*p.modelRatio(q).value(now))
	return max(0, predicted-time.Duration(ratio*float64(own)))
}
