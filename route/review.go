package route

import (
	"slices"
	"time"

	"galenastair"
)

// reviewPeriod is how often peers are compared. A slow backend server is seen
// after a few answers, about a second; comparing at each request would cost more
// than the choice itself at 270 replicas.
const reviewPeriod = 250 * time.Millisecond

// Review compares all backend servers and takes out the slow, failing and silent
// ones. It is made for one that hangs or limps while its peers are well: without
// it a share of all callers would meet it again and again, and since it holds its
// requests longest, least-in-flight alone reacts only once its window is full.
func (r *Router) Review(now time.Time) {
	if now.Sub(r.reviewed) < reviewPeriod {
		return
	}
	r.reviewed = now
	usual := r.usual(now)
	out := 0
	for _, s := range r.list {
		if s.health.out {
			out++
		}
		s.health.recover(now)
	}
	for _, s := range r.list {
		if s.health.out || float64(out+1) > max(1, largestShareOut*float64(len(r.list))) {
			continue
		}
		if usual.exceeded(now, s) {
			s.health.takeOut(now)
			s.window.cut()
			out++
		}
	}
}

// peers holds the medians that a backend server is compared with.
type peers struct {
	slowness  float64
	first     time.Duration
	gap       time.Duration
	reportAge time.Duration
	failing   int
	compared  int
}

func (r *Router) usual(now time.Time) peers {
	slow := r.scratch[:0]
	firsts := make([]time.Duration, 0, len(r.list))
	gaps := make([]time.Duration, 0, len(r.list))
	ages := make([]time.Duration, 0, len(r.list))
	p := peers{compared: len(r.list)}
	for _, s := range r.list {
		if s.health.samples > 0 {
			slow = append(slow, s.health.slowness)
			firsts = append(firsts, s.health.first)
		}
		if s.health.gaps > 0 {
			gaps = append(gaps, s.health.gap)
		}
		if s.health.failures > 0 {
			p.failing++
		}
		ages = append(ages, now.Sub(s.reported))
	}
	p.slowness = median(slow)
	p.first = median(firsts)
	p.gap = median(gaps)
	p.reportAge = median(ages)
	r.scratch = slow
	return p
}

func (p peers) exceeded(now time.Time, s *server) bool {
	h := &s.health
	if p.compared < 2 {
		return false
	}
	if h.failures >= failuresOut && 2*p.failing <= p.compared {
		return true
	}
	if h.samples >= slowSamples && h.first > slowFirst && h.slowness > slowFactor*p.slowness {
		return true
	}
	if h.gaps >= slowSamples && h.gap > max(slowGap, gapFactor*p.gap) {
		return true
	}
	age := now.Sub(s.reported)
	silence := max(silentFloor, silentFactor*p.first)
	if age < staleReport {
		silence = max(aliveFloor, silence)
	}
	if h.waiting > 0 && now.Sub(h.since) > silence {
		return true
	}
	return age > reportSilence && age > 2*p.reportAge
}

// median is the lower one of two in the middle: of two backend servers, the slow
// one must not be the measure that it is compared with.
func median[T float64 | time.Duration](xs []T) T {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return xs[(len(xs)-1)/2]
}

// Slow returns the backend servers that are out since they were found slow, failing or
// silent again right after they had been tried: those for which one bad moment is no
// explanation. One that holds nothing is not among them after its rest: it can be tried
// only where it is given something to hold.
func (r *Router) Slow() []galenastair.BackendServerID {
	var ids []galenastair.BackendServerID
	for _, s := range r.list {
		h := &s.health
		triable := r.reviewed.After(h.until) && len(s.loaded) == 0
		if h.out && h.rest > firstRest && !triable {
			ids = append(ids, s.ID)
		}
	}
	return ids
}
