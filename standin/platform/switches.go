package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Outage says how the log fails.
type Outage string

// The ways in which the log fails.
const (
	// NoOutage is normal service.
	NoOutage Outage = ""
	// Refuse answers 503 before acting.
	Refuse Outage = "Refuse"
	// Hang takes requests and neither acts nor answers while it lasts.
	Hang Outage = "Hang"
)

// Switches are what a test changes while the platform runs.
type Switches struct {
	Outage Outage
	// ListOutage makes the instance list answer 503.
	ListOutage bool
	// LostAnswers is the share of appends whose answer is cut after the effect.
	LostAnswers float64
	// AppendDelay passes before each append takes effect.
	AppendDelay time.Duration
	// AppendsPerSecond limits appends; above it they get 429.
	AppendsPerSecond float64
	// KeepRecords and KeepFor limit what a stream keeps; zero keeps all.
	KeepRecords int
	KeepFor     time.Duration
	// ListLag is how old the list is that readers see.
	ListLag time.Duration
	// ListFrozen makes readers see the same list for ever.
	ListFrozen bool
	// SilentAfter is when an instance without heartbeats drops off the list.
	SilentAfter time.Duration
}

// DefaultSwitches are those of a platform in good health.
func DefaultSwitches() Switches {
	return Switches{
		AppendsPerSecond: 400,
		ListLag:          200 * time.Millisecond,
		SilentAfter:      5 * time.Second,
	}
}

// board holds the switches and the channel that is closed at their next change.
type board struct {
	mu      sync.Mutex
	now     Switches
	changed chan struct{}
}

func newBoard(s Switches) *board {
	return &board{now: s, changed: make(chan struct{})}
}

func (b *board) get() (Switches, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now, b.changed
}

func (b *board) change(f func(*Switches) error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := f(&b.now); err != nil {
		return err
	}
	close(b.changed)
	b.changed = make(chan struct{})
	return nil
}

func (s Switches) losesAnswer() bool {
	return s.LostAnswers > 0 && rand.Float64() < s.LostAnswers
}
