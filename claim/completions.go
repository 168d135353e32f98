package claim

import "time"

// completions holds the requests that were completed within a window, in two generations, so that
// none needs an expiry of its own.
type completions struct {
	window            time.Duration
	current, previous map[Digest]time.Time
	rotatedAt         time.Time
}

// add records a completed request. If more than maxPoisonEntries are completed within a window, the
// oldest are dropped early.
func (c *completions) add(now time.Time, d Digest) {
	if now.Sub(c.rotatedAt) >= c.window || len(c.current) >= maxPoisonEntries {
		c.previous, c.current, c.rotatedAt = c.current, map[Digest]time.Time{}, now
	}
	c.current[d] = now
}

// contains reports whether a request was completed within the window.
func (c *completions) contains(now time.Time, d Digest) bool {
	at, ok := c.current[d]
	if !ok {
		at, ok = c.previous[d]
	}
	return ok && now.Sub(at) < c.window
}
