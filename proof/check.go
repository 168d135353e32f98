package proof

import (
	"fmt"
	"time"

	"galenastair"
)

// Point is one of the ten things that must always hold.
type Point string

// The ten points of the brief, in its order.
const (
	MemoryNeverOvercommitted Point = "memory is never overcommitted"
	EveryModelReachable      Point = "every model stays reachable"
	KeysAndOrganisations     Point = "a request runs only for its key's organisation; withdrawn keys stop"
	WithinRateAndBurst       Point = "no organisation exceeds rate and burst"
	WholeAnswers             Point = "a caller gets the whole answer to its own request"
	TruthfulNotRun           Point = "a refusal that says not run is true"
	AtMostOnce               Point = "what may not be repeated runs at most once"
	LeavingServers           Point = "a leaving backend server gets no new work"
	PlannedStops             Point = "a planned stop cuts no request"
	ConfigurationHolds       Point = "an accepted configuration is in force everywhere and never reverts"
)

// Verdict is what a check found on one point.
type Verdict struct {
	Point  Point
	Checks int
	// Violations tells each, in words.
	Violations []string
	// Figures are what was measured on the way.
	Figures []string
}

func (v *Verdict) violate(format string, args ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
}

func (v *Verdict) figure(format string, args ...any) {
	v.Figures = append(v.Figures, fmt.Sprintf(format, args...))
}

// Bounds are the times within which what must hold has to.
type Bounds struct {
	// Withdrawal is from the answer to the operator to the last admission on the key.
	Withdrawal time.Duration
	// StreamEnd is from the same to the end of a stream on the key.
	StreamEnd time.Duration
	// InForce is from acceptance to the last entry's having it.
	InForce time.Duration
	// Leaving is from a server's notice to its last new request; it holds the list's lag.
	Leaving time.Duration
	// Reach is the longest time that a model may go without a whole answer.
	Reach time.Duration
}

// DefaultBounds are those of today's sizes.
func DefaultBounds() Bounds {
	return Bounds{
		Withdrawal: 2 * time.Second,
		StreamEnd:  3 * time.Second,
		InForce:    2 * time.Second,
		Leaving:    3*time.Second + 500*time.Millisecond,
		Reach:      20 * time.Second,
	}
}

// Limit is what an organisation's contract gave it.
type Limit struct {
	Rate  galenastair.TokensPerSecond
	Burst galenastair.Tokens
}

// Check looks for violations of all ten points.
func Check(h *History, limits map[galenastair.Organisation]Limit, b Bounds) []Verdict {
	return []Verdict{
		checkMemory(h),
		checkReach(h, b),
		checkKeys(h, b),
		checkRate(h, limits),
		checkWhole(h),
		checkNotRun(h),
		checkAtMostOnce(h),
		checkLeaving(h, b),
		checkStops(h),
		checkConfiguration(h, b),
	}
}
