package follow

import (
	"sync"
	"time"

	"galenastair"
	"galenastair/boottime"
)

// confirmation says that no record stood beyond a position at a moment.
type confirmation struct {
	position galenastair.Offset
	at       boottime.Time
}

// mostConfirmations covers more time than a hint lives, at a confirmation each poll.
const mostConfirmations = 64

// confirmations are the newest ones, the oldest first.
type confirmations struct {
	mu  sync.Mutex
	all []confirmation
}

func (c *confirmations) add(position galenastair.Offset, at boottime.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.all); n > 0 && c.all[n-1].position == position {
		c.all[n-1].at = at
		return
	}
	c.all = append(c.all, confirmation{position, at})
	if len(c.all) > mostConfirmations {
		c.all = c.all[1:]
	}
}

// upTo returns the last moment at which no record stood beyond a position; false if too long
// ago.
func (c *confirmations) upTo(position galenastair.Offset) (boottime.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.all) - 1; i >= 0; i-- {
		if c.all[i].position <= position {
			return c.all[i].at, true
		}
	}
	return 0, false
}

// AgeAt returns how long ago the store last confirmed that nothing stood in the topic beyond a
// position; false if that is longer ago than is kept.
func (f *Follower) AgeAt(position galenastair.Offset) (time.Duration, bool) {
	at, ok := f.history.upTo(position)
	return f.clock().Sub(at), ok
}
