package quota

import (
	"slices"
	"time"

	"galenastair"
)

// Restore applies the checkpoint that lenders have stored on the platform, until a lender sends an
// allocation. An instance that is not listed has no fraction yet, because the others hold all of
// it. first reports that no earlier process of this instance has used this checkpoint. A later
// process starts with nothing, because an instance that restarts repeatedly would otherwise spend
// the advance each time.
func (s *Share) Presume(now time.Time, self galenastair.InstanceID, n Note, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lenderAnswered.IsZero() || len(n.Instances) == 0 {
		return
	}
	s.fleet, s.fraction = len(n.Instances), 0
	if slices.Contains(n.Instances, self) {
		s.fraction = equalFraction(s.fleet)
	}
	if first {
		s.setLowUsage(n.Moderate)
	} else {
		s.reserveFrom = now.Add(s.tolerance.Window)
	}
}

// SetFleet sets the number of instances when this one holds no fraction of the quotas.
func (s *Share) SetFleet(fleet int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet, s.fraction = fleet, 0
}

func (s *Share) setLowUsage(list []galenastair.Organisation) {
	clear(s.lowUsage)
	for _, o := range list {
		s.lowUsage[o] = true
	}
}

// TakeContribution returns what has not been contributed yet. It counts as contributed whether or
// not the lender receives it.
func (s *Share) Pass(now time.Time) Passed {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Passed{Fleet: s.fleet, Part: s.fraction, Version: s.version}
	if !s.fallback && !s.contributedUntil.IsZero() {
		p.Time = max(0, now.Sub(s.contributedUntil))
		p.Advanced = s.advancedSinceContribution(now)
	}
	s.contributedUntil = now
	return p
}

// advancedSinceContribution returns how much of the time since the last contribution was granted
// in advance, by organisation.
func (s *Share) advancedSinceContribution(now time.Time) map[galenastair.Organisation]time.Duration {
	var out map[galenastair.Organisation]time.Duration
	for name, a := range s.accounts {
		if !a.advancedUntil.After(s.contributedUntil) {
			continue
		}
		if out == nil {
			out = map[galenastair.Organisation]time.Duration{}
		}
		out[name] = min(now.Sub(s.contributedUntil), a.advancedUntil.Sub(s.contributedUntil))
	}
	return out
}

// SetAllocation applies the lender's answer and ends the fallback.
func (s *Share) SetStanding(now time.Time, allocation Standing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lenderAnswered = now
	if allocation.Fleet > 0 {
		s.fleet, s.fraction, s.allocated = allocation.Fleet, allocation.Part, true
	}
	if allocation.Version != s.version {
		s.version = allocation.Version
		s.setLowUsage(allocation.Moderate)
	}
	if s.fallback {
		s.fallback, s.contributedUntil = false, now
		for _, a := range s.accounts {
			s.endFallback(now, a)
		}
	}
}
