package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Outage is the failure mode of the log.
type Outage string

// Failure modes of the log.
const (
	// OutageNone is normal service.
	OutageNone Outage = ""
	// OutageRefuse responds 503 without executing the request.
	OutageRefuse Outage = "Refuse"
	// OutageHang accepts requests, and neither executes nor answers them.
	OutageHang Outage = "Hang"
)

// Faults holds the faults to inject and the limits of the platform. They can be changed
// while the platform runs.
type Faults struct {
	Outage Outage
	// ListOutage makes the instance list respond 503.
	ListOutage bool
	// LostAnswers is the fraction of appends, 0 to 1, that take effect and whose connection
	// is then closed without a response.
	LostAnswers float64
	// AppendDelay is the delay before each append takes effect.
	AppendDelay time.Duration
	// AppendsPerSecond limits the rate of appends; excess appends get status 429. 0 is no
	// limit.
	AppendsPerSecond float64
	// KeepRecords and KeepFor are the retention limits of a stream; 0 is no limit.
	KeepRecords int
	KeepFor     time.Duration
	// ListLag is the age of the list that readers get.
	ListLag time.Duration
	// ListFrozen makes readers get the same list as long as it is set.
	ListFrozen bool
	// SilentAfter is how long an instance stays on the list without a heartbeat.
	SilentAfter time.Duration
}

// DefaultFaults returns the configuration of a platform without faults.
func DefaultFaults() Faults {
	return Faults{
		AppendsPerSecond: 400,
		ListLag:          200 * time.Millisecond,
		SilentAfter:      5 * time.Second,
	}
}

// faultState holds the current faults and a channel that is closed when they change.
type faultState struct {
	mu      sync.Mutex
	current Faults
	changed chan struct{}
}

func newFaultState(s Faults) *faultState {
	return &faultState{current: s, changed: make(chan struct{})}
}

func (f *faultState) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

func (f *faultState) update(change func(*Faults) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := change(&f.current); err != nil {
		return err
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

func (s Faults) losesResponse() bool {
	return s.LostAnswers > 0 && rand.Float64() < s.LostAnswers
}
