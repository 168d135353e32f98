package quota

import (
	"time"

	"galenastair"
)

// deal sets an account's own bucket to this instance's part.
func (s *Share) deal(now time.Time, a *account) {
	part := float64(s.part)
	a.own.fill(now)
	rate := a.rate * part
	if now.Sub(s.since) > s.fullPartFor() {
		rate *= longAlone
	}
	size := a.own.room(a.most*part, a.largest)
	size += a.rate * part * max(0, a.advanced.Sub(now)).Seconds()
	a.own.set(rate, size)
}

// fullPartFor is for how long this process spends its whole part while it is alone.
func (s *Share) fullPartFor() time.Duration {
	if s.heard.IsZero() {
		return startedAlone
	}
	return aloneFor
}

// endAlone keeps what the own part owes for the next time alone, and as a loan what it
// holds in advance of its time, or of the last moment: the lender has little to lend before
// the next exchange. What it holds besides, and a loan that has ended meanwhile, are of
// seconds ago: beside a lender's full bucket they would be a second burst.
func (s *Share) endAlone(now time.Time, a *account) {
	s.deal(now, a)
	if !now.Before(a.loanEnds) {
		a.loan = 0
	}
	ahead := a.rate * float64(s.part) * max(untilLent, a.advanced.Sub(now)).Seconds()
	if n := min(a.own.level, ahead); n > 0 {
		a.lend(now, n, untilLent)
	}
	a.own.level = min(a.own.level, 0)
	a.own.at = time.Time{}
	a.alone = false
}

// noticeSilence goes over to the own buckets once the lender is silent.
func (s *Share) noticeSilence(now time.Time) {
	if !s.heard.IsZero() && now.Sub(s.heard) >= silentAfter {
		s.startAlone(now)
	}
}

// MissLender notes that the lender did not answer, or is none any more. The own buckets
// are spent from then on: waiting until it is certain would refuse all for a second or
// two each time that the lender changes, and one instance's part in that time is small.
func (s *Share) MissLender(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startAlone(now)
}

func (s *Share) startAlone(now time.Time) {
	if !s.alone && s.dealt {
		s.since, s.dealt = now, false
	}
	s.alone = true
	for name, a := range s.accounts {
		s.beginAlone(now, name, a)
	}
}

// beginAlone lets an account's own bucket be spent. It begins with what comes in later, in
// advance, or with a part of the reserve: one of them, once in a window.
func (s *Share) beginAlone(now time.Time, name galenastair.Organisation, a *account) {
	s.deal(now, a)
	if a.alone {
		return
	}
	a.alone = true
	if a.wasAlone.IsZero() {
		a.own.phase = s.chance()
	}
	if s.moderate[name] {
		delete(s.moderate, name)
		granted := s.advance()
		a.advanced = now.Add(granted)
		s.deal(now, a)
		a.own.add(a.rate * float64(s.part) * granted.Seconds())
		a.own.at = a.advanced
		a.wasAlone = now
		return
	}
	if now.Sub(a.wasAlone) > s.terms.Window && !now.Before(s.reserveFrom) {
		a.own.add(a.reserve * float64(s.part))
		a.wasAlone = now
	}
}

// advance is for how long this process may grant in advance.
func (s *Share) advance() time.Duration {
	if s.heard.IsZero() {
		return startedAdvance
	}
	return advance
}
