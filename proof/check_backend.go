package proof

import (
	"time"

	"galenastair"
	"galenastair/caller"
	"galenastair/standin/journal"
)

// checkMemory reads what the engines report and journal themselves. They carry out
// an order that overcommits their memory and record it instead of refusing it, so
// that the check can see it.
func checkMemory(h *History) Result {
	res := Result{Invariant: MemoryNotOvercommitted}
	for _, l := range h.MemorySamples {
		res.Checks++
		if l.Used > l.Total {
			res.violationf("%s used %d of %d bytes of memory at %s", l.Engine, l.Used, l.Total, formatTime(l.At))
		}
	}
	for _, r := range h.Runs {
		if r.Overcommitted > 0 {
			res.violationf("%s was overcommitted by %d bytes at %s", r.Server, r.Overcommitted, formatTime(r.At))
		}
	}
	return res
}

// checkNotRun looks in the journals of the backend servers for requests that an
// entry refused with the outcome NotRun.
func checkNotRun(h *History) Result {
	res := Result{Invariant: NotRunAccurate}
	ran := map[galenastair.RequestID]journal.Entry{}
	for _, r := range h.Runs {
		if r.Request != "" {
			ran[caller.ExternalID(r.Request)] = r
		}
	}
	for _, r := range h.Requests {
		if r.Outcome != galenastair.OutcomeNotRun || r.Status == 0 {
			continue
		}
		res.Checks++
		if run, found := ran[r.ID]; found {
			res.violationf("%s was refused as NotRun (%s) by %s, but ran on %s at %s", r.ID, r.Code, r.Entry, run.Server, formatTime(run.At))
		}
	}
	return res
}

// checkAtMostOnce counts the runs of each call by the call's name in its request
// body: request ids differ between repeated sends.
func checkAtMostOnce(h *History) Result {
	res := Result{Invariant: AtMostOnce}
	runs := map[string][]journal.Entry{}
	for _, r := range h.Runs {
		if r.Call != "" {
			runs[r.Call] = append(runs[r.Call], r)
		}
	}
	repeated := 0
	for call, entries := range runs {
		res.Checks++
		if len(entries) > 1 {
			res.violationf("call %s ran %d times: on %s at %s, on %s at %s", call, len(entries),
				entries[0].Server, formatTime(entries[0].At), entries[1].Server, formatTime(entries[1].At))
		}
	}
	unrecorded := 0
	for _, r := range h.Requests {
		if r.Call == "" {
			continue
		}
		if string(r.ID) != r.Call+".0" {
			repeated++
		}
		if r.served() && len(runs[r.Call]) == 0 {
			unrecorded++
			res.violationf("call %s was answered, but no service ran it", r.Call)
		}
	}
	res.measurementf("%d repeated sends of calls", repeated)
	return res
}

// checkLeaving looks for requests that a backend server received more than
// Bounds.RequestAfterLeaving after it began to leave.
func checkLeaving(h *History, b Bounds) Result {
	res := Result{Invariant: LeavingServersIdle}
	for _, f := range h.Faults {
		if f.Kind != StopEngine || f.Err != "" {
			continue
		}
		for _, r := range h.Runs {
			if r.Server != f.Target || r.Request == "" || r.At.Before(f.Start) || r.At.After(f.End) {
				continue
			}
			res.Checks++
			delay := r.At.Sub(f.Start)
			// Entries learn that a server is leaving from the instance list alone, so a frozen list excuses them
			if delay > b.RequestAfterLeaving && !faultDuring(h, f.Start, r.At, ListFrozen) {
				res.violationf("%s received %s %s after it began to leave", f.Target, r.Request, delay)
			}
		}
	}
	return res
}

// faultDuring reports whether a fault of one of the kinds overlapped a period.
func faultDuring(h *History, from, to time.Time, kinds ...FaultKind) bool {
	for _, f := range h.Faults {
		for _, k := range kinds {
			if f.Kind == k && f.overlaps(from, to, 0) {
				return true
			}
		}
	}
	return false
}

func formatTime(t time.Time) string { return t.Format("15:04:05.000") }
