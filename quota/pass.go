package quota

import (
	"slices"
	"time"

	"galenastair"
)

// Presume takes in what lenders have left on the platform. It counts until a lender says
// how this instance stands. One that is not named has no part yet: the others hold it all.
// First says that no process of this instance went by the note before: a second one begins
// with nothing, or an instance that is started again and again would spend as much each time.
func (s *Share) Presume(now time.Time, self galenastair.InstanceID, n Note, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.heard.IsZero() || len(n.Instances) == 0 {
		return
	}
	s.fleet, s.part = len(n.Instances), 0
	if slices.Contains(n.Instances, self) {
		s.part = equalPart(s.fleet)
	}
	if first {
		s.setModerate(n.Moderate)
	} else {
		s.reserveFrom = now.Add(s.terms.Window)
	}
}

// SetFleet says how many instances there are where this one has no part of the quotas.
func (s *Share) SetFleet(fleet int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet, s.part = fleet, 0
}

func (s *Share) setModerate(list []galenastair.Organisation) {
	clear(s.moderate)
	for _, o := range list {
		s.moderate[o] = true
	}
}

// Pass returns what has not been passed on yet. The answer counts as passed on whether
// or not the lender hears of it.
func (s *Share) Pass(now time.Time) Passed {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Passed{Fleet: s.fleet, Part: s.part, Version: s.version}
	if !s.alone && !s.passed.IsZero() {
		p.Time = max(0, now.Sub(s.passed))
		p.Advanced = s.advancedIn(now)
	}
	s.passed = now
	return p
}

// advancedIn returns for how much of the time since the last pass each organisation was
// granted in advance.
func (s *Share) advancedIn(now time.Time) map[galenastair.Organisation]time.Duration {
	var out map[galenastair.Organisation]time.Duration
	for name, a := range s.accounts {
		if !a.advanced.After(s.passed) {
			continue
		}
		if out == nil {
			out = map[galenastair.Organisation]time.Duration{}
		}
		out[name] = min(now.Sub(s.passed), a.advanced.Sub(s.passed))
	}
	return out
}

// SetStanding takes in what the lender answered just now.
func (s *Share) SetStanding(now time.Time, told Standing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = now
	if told.Fleet > 0 {
		s.fleet, s.part, s.dealt = told.Fleet, told.Part, true
	}
	if told.Version != s.version {
		s.version = told.Version
		s.setModerate(told.Moderate)
	}
	if s.alone {
		s.alone, s.passed = false, now
		for _, a := range s.accounts {
			s.endAlone(now, a)
		}
	}
}
