package follow

import (
	"sync"
	"time"

	"galenastair"
	"galenastair/boottime"
)

// confirmation is the time at which the store confirmed a topic's end.
type confirmation struct {
	end galenastair.Offset
	at  boottime.Time
}

// maxConfirmations covers more time than the maximum hint age, at one confirmation per poll.
const maxConfirmations = 64

// confirmations keeps the latest confirmations, oldest first.
type confirmations struct {
	mu      sync.Mutex
	entries []confirmation
}

func (c *confirmations) add(position galenastair.Offset, at boottime.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.entries); n > 0 && c.entries[n-1].end == position {
		c.entries[n-1].at = at
		return
	}
	c.entries = append(c.entries, confirmation{position, at})
	if len(c.entries) > maxConfirmations {
		c.entries = c.entries[1:]
	}
}

// lastAt returns the last time at which the topic's end was confirmed to be at or before a
// position; false if no such confirmation is kept.
func (c *confirmations) lastAt(position galenastair.Offset) (boottime.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.entries) - 1; i >= 0; i-- {
		if c.entries[i].end <= position {
			return c.entries[i].at, true
		}
	}
	return 0, false
}

// AgeAt returns the time since the store last confirmed that the topic had no record at or after
// a position; false if no such confirmation is kept.
func (f *Follower) AgeAt(position galenastair.Offset) (time.Duration, bool) {
	at, ok := f.confirmations.lastAt(position)
	return f.clock().Sub(at), ok
}
