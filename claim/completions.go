package claim

import "time"

// completions holds the requests, or the parts of prompts, that were completed within a window, in two
// generations, so that none needs an expiry of its own.
type completions[K comparable] struct {
	window            time.Duration
	current, previous map[K]time.Time
	rotatedAt         time.Time
}

// add records a completion. If more than maxPoisonEntries are completed within a window, the
// oldest are dropped early.
func (c *completions[K]) add(now time.Time, k K) {
	if now.Sub(c.rotatedAt) >= c.window || len(c.current) >= maxPoisonEntries {
		c.previous, c.current, c.rotatedAt = c.current, map[K]time.Time{}, now
	}
	c.current[k] = now
}

// contains reports whether there was a completion within the window.
func (c *completions[K]) contains(now time.Time, k K) bool {
	at, ok := c.current[k]
	if !ok {
		at, ok = c.previous[k]
	}
	return ok && now.Sub(at) < c.window
}
