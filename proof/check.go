package proof

import (
	"fmt"
	"time"

	"galenastair"
)

// Invariant is a property of the system that must hold under every fault.
type Invariant string

// The invariants, in the order in which the report lists them.
const (
	MemoryNotOvercommitted  Invariant = "memory is never overcommitted"
	ModelsReachable         Invariant = "every model stays reachable"
	KeysEnforced            Invariant = "requests run only for the key's organisation; withdrawn keys are refused"
	RateLimitsEnforced      Invariant = "no organisation exceeds its rate and burst"
	AnswersComplete         Invariant = "a caller gets the complete answer to its own request"
	NotRunAccurate          Invariant = "a request that was refused as NotRun did not run"
	AtMostOnce              Invariant = "a call that is not idempotent runs at most once"
	LeavingServersIdle      Invariant = "a leaving backend server gets no new requests"
	StopsGraceful           Invariant = "a graceful stop of an entry interrupts no request"
	ConfigurationConsistent Invariant = "an accepted configuration takes effect everywhere and never reverts"
)

// Result is the result of the check of one invariant.
type Result struct {
	Invariant Invariant
	Checks    int
	// Violations describes each violation.
	Violations []string
	// Measurements are figures for the report; they do not affect the outcome.
	Measurements []string
}

func (res *Result) violationf(format string, args ...any) {
	res.Violations = append(res.Violations, fmt.Sprintf(format, args...))
}

func (res *Result) measurementf(format string, args ...any) {
	res.Measurements = append(res.Measurements, fmt.Sprintf(format, args...))
}

// Bounds are the time limits that the checks allow.
type Bounds struct {
	// AdmissionAfterWithdrawal runs from the acceptance of a key's withdrawal, as its
	// operator saw it, to the last admission with that key.
	AdmissionAfterWithdrawal time.Duration
	// StreamAfterWithdrawal runs from the same moment to the end of a stream that was
	// opened with that key.
	StreamAfterWithdrawal time.Duration
	// ConfigurationDelay runs from the acceptance of a change until every entry has
	// applied it.
	ConfigurationDelay time.Duration
	// RequestAfterLeaving runs from the signal that stops a backend server to its last
	// new request. It includes the lag of the instance list.
	RequestAfterLeaving time.Duration
	// ModelUnavailable is the longest time for which a model may give no complete
	// answer.
	ModelUnavailable time.Duration
}

// DefaultBounds returns the limits for the fleet sizes in use today.
func DefaultBounds() Bounds {
	return Bounds{
		AdmissionAfterWithdrawal: 2 * time.Second,
		StreamAfterWithdrawal:    3 * time.Second,
		ConfigurationDelay:       2 * time.Second,
		RequestAfterLeaving:      3*time.Second + 500*time.Millisecond,
		ModelUnavailable:         20 * time.Second,
	}
}

// Limit is the rate limit in an organisation's contract.
type Limit struct {
	Rate  galenastair.TokensPerSecond
	Burst galenastair.Tokens
}

// Check checks every invariant and returns the results in the order of the report.
func Check(h *History, limits map[galenastair.Organisation]Limit, b Bounds) []Result {
	return []Result{
		checkMemory(h),
		checkModelAvailability(h, b),
		checkKeys(h, b),
		checkRate(h, limits),
		checkAnswers(h),
		checkNotRun(h),
		checkAtMostOnce(h),
		checkLeaving(h, b),
		checkGracefulStops(h),
		checkConfiguration(h, b),
	}
}
