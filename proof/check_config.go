package proof

import (
	"slices"
	"time"

	"galenastair"
)

// checkConfiguration looks for ready entries that returned to an older configuration,
// for changes that took effect late, and for two concurrent changes from the same
// revision that were both accepted.
func checkConfiguration(h *History, b Bounds) Result {
	res := Result{Invariant: ConfigurationConsistent}
	slices.SortFunc(h.StatusSamples, func(a, b StatusSample) int { return a.At.Compare(b.At) })
	checkReverts(h, &res)
	checkPropagation(h, b, &res)
	checkConcurrentChanges(h, &res)
	return res
}

func checkReverts(h *History, res *Result) {
	shown := map[string]StatusSample{}
	for _, s := range h.StatusSamples {
		if !s.Ready {
			continue
		}
		res.Checks++
		if before := shown[s.Entry]; s.ConfigurationOffset < before.ConfigurationOffset {
			res.violationf("%s reverted from offset %d to %d at %s", s.Entry, before.ConfigurationOffset, s.ConfigurationOffset, formatTime(s.At))
		}
		shown[s.Entry] = s
	}
}

// checkPropagation allows an entry more than Bounds.ConfigurationDelay only while the
// log, the entry or the connection between them is disrupted: the entry then gets the
// change from its peers later, or is not ready.
func checkPropagation(h *History, b Bounds, res *Result) {
	if len(h.StatusSamples) == 0 {
		return
	}
	var delays []time.Duration
	for _, c := range h.Changes {
		if !c.Accepted {
			continue
		}
		first := map[string]time.Time{}
		for _, s := range h.StatusSamples {
			if s.ConfigurationOffset > c.Offset {
				if _, seen := first[s.Entry]; !seen {
					first[s.Entry] = s.At
				}
				continue
			}
			delay := s.At.Sub(c.End)
			if !s.Ready || delay <= b.ConfigurationDelay {
				continue
			}
			res.Checks++
			if !propagationDisrupted(h, s.Entry, c.End, s.At) {
				res.violationf("%s had not applied revision %d %s after its acceptance", s.Entry, c.Offset, delay.Round(time.Millisecond))
			}
		}
		// Contracts published at the start of a run precede the first status sample and can't be timed
		if c.End.After(h.StatusSamples[0].At) {
			delays = append(delays, slowestPropagation(h, first, c))
		}
	}
	slices.Sort(delays)
	if n := len(delays); n > 0 {
		res.measurementf("%d changes took effect everywhere after %s (median), %s (maximum)", n, delays[n/2].Round(time.Millisecond), delays[n-1].Round(time.Millisecond))
	}
}

// slowestPropagation returns how long a change took to reach the last of the entries
// that were not disrupted meanwhile.
func slowestPropagation(h *History, first map[string]time.Time, c Change) time.Duration {
	var d time.Duration
	for entry, at := range first {
		if !propagationDisrupted(h, entry, c.End, at) {
			d = max(d, at.Sub(c.End))
		}
	}
	return d
}

func propagationDisrupted(h *History, entry string, from, to time.Time) bool {
	const recovery = 3 * time.Second
	for _, f := range h.Faults {
		if !f.overlaps(from, to, recovery) {
			continue
		}
		switch f.Kind {
		case LogOutage, LogHang:
			return true
		case CutFromLog, PauseEntry, PauseLeader, KillEntry, KillLeader, StopEntry:
			if f.Target == entry {
				return true
			}
		}
	}
	return false
}

func checkConcurrentChanges(h *History, res *Result) {
	type revision struct {
		organisation galenastair.Organisation
		base         galenastair.Offset
	}
	accepted := map[revision]Change{}
	for _, c := range h.Changes {
		if c.Kind != "ContractPublished" || c.OutcomeUnknown {
			continue
		}
		res.Checks++
		from := revision{c.Organisation, c.BaseOffset}
		if other, found := accepted[from]; found && c.Accepted {
			res.violationf("two changes of %s from revision %d were accepted: %d and %d", c.Organisation, c.BaseOffset, other.Offset, c.Offset)
		}
		if c.Accepted {
			accepted[from] = c
		}
	}
}
