package proof

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/standin/journal"
)

var t0 = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

func servedRequest(id galenastair.RequestID, start, end float64) Request {
	return Request{
		ID: id, Organisation: "Furnir", Entry: "entry-1", Model: "m", Start: at(start), End: at(end),
		Status: 200, Outcome: galenastair.OutcomeRan, Complete: true, Correct: true, Tokens: 100,
	}
}

// Guards against a check that never reports anything: each check must accept a
// history without violations and find the one violation in the other history.
func TestChecksFindViolations(t *testing.T) {
	withdrawal := Change{Kind: "KeyWithdrawn", Key: "k", Accepted: true, Start: at(1), End: at(1)}
	onKey := func(start, end float64) Request {
		r := servedRequest("r", start, end)
		r.Key = "k"
		return r
	}
	notRun := Request{ID: "r", Status: 503, Outcome: galenastair.OutcomeNotRun, Code: "Overloaded"}
	stop := Fault{Kind: StopEntry, Target: "entry-1", Start: at(1), End: at(3)}
	broken := Request{ID: "r", Entry: "entry-1", Start: at(0), End: at(2), ConnectionBroken: true}
	accepted := Change{Kind: "ContractPublished", Accepted: true, Offset: 5, Start: at(1), End: at(1), BaseOffset: 3}
	sample := func(seconds float64, offset galenastair.Offset) StatusSample {
		return StatusSample{Entry: "entry-1", At: at(seconds), Ready: true, ConfigurationOffset: offset}
	}
	leaving := Fault{Kind: StopEngine, Target: "engine-1", Start: at(0), End: at(9)}
	for invariant, c := range map[Invariant]struct{ clean, violating History }{
		MemoryNotOvercommitted: {
			History{MemorySamples: []MemorySample{{Engine: "e", Used: 5, Total: 5}}},
			History{Runs: []journal.Entry{{Server: "e", Overcommitted: 1}}},
		},
		ModelsReachable: {
			History{Requests: []Request{servedRequest("a", 0, 1), servedRequest("b", 15, 16)}},
			History{Requests: []Request{servedRequest("a", 0, 1), servedRequest("b", 25, 26)}},
		},
		KeysEnforced: {
			History{Changes: []Change{withdrawal}, Requests: []Request{onKey(2, 3)}},
			History{Changes: []Change{withdrawal}, Requests: []Request{onKey(3.5, 3.9)}},
		},
		RateLimitsEnforced: {
			History{Requests: []Request{servedRequest("a", 0, 1), servedRequest("b", 0.5, 2)}},
			History{Requests: []Request{servedRequest("a", 0, 1), servedRequest("b", 0.5, 1), servedRequest("c", 0.5, 1)}},
		},
		AnswersComplete: {
			History{Requests: []Request{servedRequest("a", 0, 1)}},
			History{Requests: []Request{{ID: "a", Status: 200, Complete: true}}},
		},
		NotRunAccurate: {
			History{Requests: []Request{notRun}, Runs: []journal.Entry{{Request: "other"}}},
			History{Requests: []Request{notRun}, Runs: []journal.Entry{{Request: "r"}}},
		},
		AtMostOnce: {
			History{Runs: []journal.Entry{{Call: "bid", Request: "bid.0"}}},
			History{Runs: []journal.Entry{{Call: "bid", Request: "bid.0"}, {Call: "bid", Request: "bid.1"}}},
		},
		LeavingServersIdle: {
			History{Faults: []Fault{leaving}, Runs: []journal.Entry{{Server: "engine-1", Request: "r", At: at(2)}}},
			History{Faults: []Fault{leaving}, Runs: []journal.Entry{{Server: "engine-1", Request: "r", At: at(5)}}},
		},
		StopsGraceful: {
			History{Faults: []Fault{stop}, Requests: []Request{{ID: "r", Entry: "entry-1", Start: at(0), End: at(2)}}},
			History{Faults: []Fault{stop}, Requests: []Request{broken}},
		},
		ConfigurationConsistent: {
			History{Changes: []Change{accepted}, StatusSamples: []StatusSample{sample(1.5, 5), sample(2, 6), sample(4, 6)}},
			History{StatusSamples: []StatusSample{sample(1, 6), sample(2, 5)}},
		},
	} {
		t.Run(string(invariant), func(t *testing.T) {
			is := is.New(t)
			limits := map[galenastair.Organisation]Limit{"Furnir": {Rate: 100, Burst: 150}}
			is.Equal(violations(&c.clean, limits, invariant), []string(nil))
			is.Equal(len(violations(&c.violating, limits, invariant)), 1)
		})
	}
}

func violations(h *History, limits map[galenastair.Organisation]Limit, invariant Invariant) []string {
	results := Check(h, limits, DefaultBounds())
	i := slices.IndexFunc(results, func(r Result) bool { return r.Invariant == invariant })
	return results[i].Violations
}

func TestConfigurationLateOrAcceptedTwice(t *testing.T) {
	is := is.New(t)
	late := History{
		Changes:       []Change{{Kind: "ContractPublished", Accepted: true, Offset: 5, End: at(1)}},
		StatusSamples: []StatusSample{{Entry: "entry-1", At: at(4), Ready: true, ConfigurationOffset: 5}},
	}
	is.Equal(len(violations(&late, nil, ConfigurationConsistent)), 1)
	// An entry without a connection to the log has more time, as it gets the change from its peers
	late.Faults = []Fault{{Kind: CutFromLog, Target: "entry-1", Start: at(0), End: at(3)}}
	is.Equal(len(violations(&late, nil, ConfigurationConsistent)), 0)
	twice := History{Changes: []Change{
		{Kind: "ContractPublished", Accepted: true, Offset: 5, BaseOffset: 3},
		{Kind: "ContractPublished", Accepted: true, Offset: 6, BaseOffset: 3},
	}}
	is.Equal(len(violations(&twice, nil, ConfigurationConsistent)), 1)
}

func TestScheduleIsDeterminedBySeed(t *testing.T) {
	is := is.New(t)
	schedule := drawSchedule(7, 10*time.Minute, time.Second)
	is.Equal(schedule, drawSchedule(7, 10*time.Minute, time.Second))
	is.True(fmt.Sprint(schedule) != fmt.Sprint(drawSchedule(8, 10*time.Minute, time.Second)))
	seen := map[FaultKind]bool{}
	for _, p := range schedule {
		seen[p.kind] = true
	}
	is.Equal(len(seen), len(faultKinds)) // every kind is drawn
}
