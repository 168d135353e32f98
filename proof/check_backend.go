package proof

import (
	"time"

	"galenastair"
	"galenastair/caller"
	"galenastair/standin/journal"
)

// checkMemory reads the engines' own words: an order that overcommits is carried
// out and written down by them, never hidden.
func checkMemory(h *History) Verdict {
	v := Verdict{Point: MemoryNeverOvercommitted}
	for _, l := range h.Loads {
		v.Checks++
		if l.Used > l.Total {
			v.violate("%s used %d of %d bytes at %s", l.Engine, l.Used, l.Total, clock(l.At))
		}
	}
	for _, r := range h.Runs {
		if r.Overcommitted > 0 {
			v.violate("%s was overcommitted by %d bytes at %s", r.Server, r.Overcommitted, clock(r.At))
		}
	}
	return v
}

// checkNotRun looks for refused requests among what backend servers ran.
func checkNotRun(h *History) Verdict {
	v := Verdict{Point: TruthfulNotRun}
	ran := map[galenastair.RequestID]journal.Entry{}
	for _, r := range h.Runs {
		if r.Request != "" {
			ran[caller.ShownID(r.Request)] = r
		}
	}
	for _, r := range h.Requests {
		if r.Outcome != galenastair.NotRun || r.Status == 0 {
			continue
		}
		v.Checks++
		if run, found := ran[r.ID]; found {
			v.violate("%s was told NotRun (%s) by %s and ran on %s at %s", r.ID, r.Code, r.Entry, run.Server, clock(run.At))
		}
	}
	return v
}

// checkAtMostOnce counts the runs of each call by what it means to its application.
func checkAtMostOnce(h *History) Verdict {
	v := Verdict{Point: AtMostOnce}
	runs := map[string][]journal.Entry{}
	for _, r := range h.Runs {
		if r.Call != "" {
			runs[r.Call] = append(runs[r.Call], r)
		}
	}
	resent := 0
	for call, entries := range runs {
		v.Checks++
		if len(entries) > 1 {
			v.violate("call %s ran %d times: on %s at %s, on %s at %s", call, len(entries),
				entries[0].Server, clock(entries[0].At), entries[1].Server, clock(entries[1].At))
		}
	}
	lost := 0
	for _, r := range h.Requests {
		if r.Call == "" {
			continue
		}
		if string(r.ID) != r.Call+".0" {
			resent++
		}
		if r.served() && len(runs[r.Call]) == 0 {
			lost++
			v.violate("call %s was answered and never ran", r.Call)
		}
	}
	v.figure("%d calls sent again", resent)
	return v
}

// checkLeaving looks for requests that a server got after it had shown for a
// while that it is leaving.
func checkLeaving(h *History, b Bounds) Verdict {
	v := Verdict{Point: LeavingServers}
	for _, f := range h.Faults {
		if f.Kind != StopEngine || f.Err != "" {
			continue
		}
		for _, r := range h.Runs {
			if r.Server != f.Target || r.Request == "" || r.At.Before(f.Start) || r.At.After(f.End) {
				continue
			}
			v.Checks++
			late := r.At.Sub(f.Start)
			// while the list shows nothing new, nobody can know
			if late > b.Leaving && !lagged(h, f.Start, r.At, ListFrozen) {
				v.violate("%s got %s %s after it began to leave", f.Target, r.Request, late)
			}
		}
	}
	return v
}

// lagged says that a fault of one of the kinds lay in a span of time.
func lagged(h *History, from, to time.Time, kinds ...FaultKind) bool {
	for _, f := range h.Faults {
		for _, k := range kinds {
			if f.Kind == k && f.during(from, to, 0) {
				return true
			}
		}
	}
	return false
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }
