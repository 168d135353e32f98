package proof

import (
	"slices"
	"time"

	"galenastair"
)

// checkConfiguration looks for entries that took requests with an older
// configuration than they had shown before, for changes that came late, and for
// two racing changes that were both accepted.
func checkConfiguration(h *History, b Bounds) Verdict {
	v := Verdict{Point: ConfigurationHolds}
	slices.SortFunc(h.Sights, func(a, b Sight) int { return a.At.Compare(b.At) })
	checkReverts(h, &v)
	checkInForce(h, b, &v)
	checkRaces(h, &v)
	return v
}

func checkReverts(h *History, v *Verdict) {
	shown := map[string]Sight{}
	for _, s := range h.Sights {
		if !s.Ready {
			continue
		}
		v.Checks++
		if before := shown[s.Entry]; s.ConfigurationOffset < before.ConfigurationOffset {
			v.violate("%s went back from offset %d to %d at %s", s.Entry, before.ConfigurationOffset, s.ConfigurationOffset, clock(s.At))
		}
		shown[s.Entry] = s
	}
}

// checkInForce allows an entry more time only while the log or its way to it is
// disturbed: it then takes the change from others, or does not serve.
func checkInForce(h *History, b Bounds, v *Verdict) {
	if len(h.Sights) == 0 {
		return
	}
	var delays []time.Duration
	for _, c := range h.Changes {
		if !c.Accepted {
			continue
		}
		first := map[string]time.Time{}
		for _, s := range h.Sights {
			if s.ConfigurationOffset > c.Offset {
				if _, seen := first[s.Entry]; !seen {
					first[s.Entry] = s.At
				}
				continue
			}
			late := s.At.Sub(c.End)
			if !s.Ready || late <= b.InForce {
				continue
			}
			v.Checks++
			if !disturbed(h, s.Entry, c.End, s.At) {
				v.violate("%s still had no revision %d %s after its acceptance", s.Entry, c.Offset, late.Round(time.Millisecond))
			}
		}
		// contracts are published before anybody looks
		if c.End.After(h.Sights[0].At) {
			delays = append(delays, slowest(h, first, c))
		}
	}
	slices.Sort(delays)
	if n := len(delays); n > 0 {
		v.figure("%d changes in force everywhere after %s (median), %s (worst)", n, delays[n/2].Round(time.Millisecond), delays[n-1].Round(time.Millisecond))
	}
}

// slowest returns how long a change took to show on the last entry that was
// there and undisturbed all the while.
func slowest(h *History, first map[string]time.Time, c Change) time.Duration {
	var d time.Duration
	for entry, at := range first {
		if !disturbed(h, entry, c.End, at) {
			d = max(d, at.Sub(c.End))
		}
	}
	return d
}

func disturbed(h *History, entry string, from, to time.Time) bool {
	const recovery = 3 * time.Second
	for _, f := range h.Faults {
		if !f.during(from, to, recovery) {
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

func checkRaces(h *History, v *Verdict) {
	type race struct {
		organisation galenastair.Organisation
		base         galenastair.Offset
	}
	accepted := map[race]Change{}
	for _, c := range h.Changes {
		if c.Kind != "ContractPublished" || c.Unsure {
			continue
		}
		v.Checks++
		at := race{c.Organisation, c.Base}
		if other, found := accepted[at]; found && c.Accepted {
			v.violate("two changes of %s from revision %d were accepted: %d and %d", c.Organisation, c.Base, other.Offset, c.Offset)
		}
		if c.Accepted {
			accepted[at] = c
		}
	}
}
