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

func whole(id galenastair.RequestID, start, end float64) Request {
	return Request{
		ID: id, Organisation: "Furnir", Entry: "entry-1", Model: "m", Start: at(start), End: at(end),
		Status: 200, Outcome: galenastair.Ran, Whole: true, Right: true, Tokens: 100,
	}
}

// A check that cannot fail proves nothing: each is shown one clean history and
// one planted violation of its point.
func TestChecksSeePlantedViolations(t *testing.T) {
	withdrawal := Change{Kind: "KeyWithdrawn", Key: "k", Accepted: true, Start: at(1), End: at(1)}
	onKey := func(start, end float64) Request {
		r := whole("r", start, end)
		r.Key = "k"
		return r
	}
	notRun := Request{ID: "r", Status: 503, Outcome: galenastair.NotRun, Code: "Overloaded"}
	stop := Fault{Kind: StopEntry, Target: "entry-1", Start: at(1), End: at(3)}
	broken := Request{ID: "r", Entry: "entry-1", Start: at(0), End: at(2), Broken: true}
	accepted := Change{Kind: "ContractPublished", Accepted: true, Offset: 5, Start: at(1), End: at(1), Base: 3}
	sight := func(seconds float64, offset galenastair.Offset) Sight {
		return Sight{Entry: "entry-1", At: at(seconds), Ready: true, ConfigurationOffset: offset}
	}
	leaving := Fault{Kind: StopEngine, Target: "engine-1", Start: at(0), End: at(9)}
	for point, c := range map[Point]struct{ clean, planted History }{
		MemoryNeverOvercommitted: {
			History{Loads: []Load{{Engine: "e", Used: 5, Total: 5}}},
			History{Runs: []journal.Entry{{Server: "e", Overcommitted: 1}}},
		},
		EveryModelReachable: {
			History{Requests: []Request{whole("a", 0, 1), whole("b", 15, 16)}},
			History{Requests: []Request{whole("a", 0, 1), whole("b", 25, 26)}},
		},
		KeysAndOrganisations: {
			History{Changes: []Change{withdrawal}, Requests: []Request{onKey(2, 3)}},
			History{Changes: []Change{withdrawal}, Requests: []Request{onKey(3.5, 3.9)}},
		},
		WithinRateAndBurst: {
			History{Requests: []Request{whole("a", 0, 1), whole("b", 0.5, 2)}},
			History{Requests: []Request{whole("a", 0, 1), whole("b", 0.5, 1), whole("c", 0.5, 1)}},
		},
		WholeAnswers: {
			History{Requests: []Request{whole("a", 0, 1)}},
			History{Requests: []Request{{ID: "a", Status: 200, Whole: true}}},
		},
		TruthfulNotRun: {
			History{Requests: []Request{notRun}, Runs: []journal.Entry{{Request: "other"}}},
			History{Requests: []Request{notRun}, Runs: []journal.Entry{{Request: "r"}}},
		},
		AtMostOnce: {
			History{Runs: []journal.Entry{{Call: "bid", Request: "bid.0"}}},
			History{Runs: []journal.Entry{{Call: "bid", Request: "bid.0"}, {Call: "bid", Request: "bid.1"}}},
		},
		LeavingServers: {
			History{Faults: []Fault{leaving}, Runs: []journal.Entry{{Server: "engine-1", Request: "r", At: at(2)}}},
			History{Faults: []Fault{leaving}, Runs: []journal.Entry{{Server: "engine-1", Request: "r", At: at(5)}}},
		},
		PlannedStops: {
			History{Faults: []Fault{stop}, Requests: []Request{{ID: "r", Entry: "entry-1", Start: at(0), End: at(2)}}},
			History{Faults: []Fault{stop}, Requests: []Request{broken}},
		},
		ConfigurationHolds: {
			History{Changes: []Change{accepted}, Sights: []Sight{sight(1.5, 5), sight(2, 6), sight(4, 6)}},
			History{Sights: []Sight{sight(1, 6), sight(2, 5)}},
		},
	} {
		t.Run(string(point), func(t *testing.T) {
			is := is.New(t)
			limits := map[galenastair.Organisation]Limit{"Furnir": {Rate: 100, Burst: 150}}
			is.Equal(violations(&c.clean, limits, point), []string(nil))
			is.Equal(len(violations(&c.planted, limits, point)), 1)
		})
	}
}

func violations(h *History, limits map[galenastair.Organisation]Limit, point Point) []string {
	verdicts := Check(h, limits, DefaultBounds())
	i := slices.IndexFunc(verdicts, func(v Verdict) bool { return v.Point == point })
	return verdicts[i].Violations
}

func TestConfigurationMustNotComeLateNorTwice(t *testing.T) {
	is := is.New(t)
	late := History{
		Changes: []Change{{Kind: "ContractPublished", Accepted: true, Offset: 5, End: at(1)}},
		Sights:  []Sight{{Entry: "entry-1", At: at(4), Ready: true, ConfigurationOffset: 5}},
	}
	is.Equal(len(violations(&late, nil, ConfigurationHolds)), 1)
	// the same entry cut from the log is given the time to hear of it from others
	late.Faults = []Fault{{Kind: CutFromLog, Target: "entry-1", Start: at(0), End: at(3)}}
	is.Equal(len(violations(&late, nil, ConfigurationHolds)), 0)
	twice := History{Changes: []Change{
		{Kind: "ContractPublished", Accepted: true, Offset: 5, Base: 3},
		{Kind: "ContractPublished", Accepted: true, Offset: 6, Base: 3},
	}}
	is.Equal(len(violations(&twice, nil, ConfigurationHolds)), 1)
}

func TestScheduleComesFromItsSeed(t *testing.T) {
	is := is.New(t)
	plan := schedule(7, 10*time.Minute, time.Second)
	is.Equal(plan, schedule(7, 10*time.Minute, time.Second))
	is.True(fmt.Sprint(plan) != fmt.Sprint(schedule(8, 10*time.Minute, time.Second)))
	seen := map[FaultKind]bool{}
	for _, p := range plan {
		seen[p.kind] = true
	}
	is.Equal(len(seen), len(kinds)) // every kind comes
}
