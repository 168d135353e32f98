package route

import (
	"slices"
	"time"

	"galenastair"
)

// reviewPeriod is the time between two comparisons. A slow backend server is detected after a
// few responses, about a second. With 270 backend servers, a comparison at each request would cost
// more than the choice itself.
const reviewPeriod = 250 * time.Millisecond

// DetectOutliers compares all backend servers and ejects the slow, failing and silent ones.
// Without it, a share of all requests would continue to reach a backend server that hangs or
// is slow while its peers are healthy. Such a server holds its requests longest, so that a
// comparison of in-flight requests alone reacts only once its window is full.
func (r *Router) DetectOutliers(now time.Time) {
	if now.Sub(r.reviewed) < reviewPeriod {
		return
	}
	r.reviewed = now
	medians := r.medians(now)
	ejected := 0
	for _, s := range r.list {
		if s.health.ejected {
			ejected++
		}
		s.health.resetEjectionTime(now)
	}
	for _, s := range r.list {
		if s.health.ejected || float64(ejected+1) > max(1, maxEjectedShare*float64(len(r.list))) {
			continue
		}
		if medians.isOutlier(now, s) {
			s.health.eject(now)
			s.window.decrease()
			ejected++
		}
	}
}

// peerMedians holds the medians over all backend servers that each is compared with.
type peerMedians struct {
	slowness          float64
	firstToken        time.Duration
	interTokenLatency time.Duration
	reportAge         time.Duration
	failing           int
	compared          int
}

func (r *Router) medians(now time.Time) peerMedians {
	slow := r.slownessBuf[:0]
	firstTokens := make([]time.Duration, 0, len(r.list))
	interTokens := make([]time.Duration, 0, len(r.list))
	ages := make([]time.Duration, 0, len(r.list))
	p := peerMedians{compared: len(r.list)}
	for _, s := range r.list {
		if s.health.samples > 0 {
			slow = append(slow, s.health.slowness)
			firstTokens = append(firstTokens, s.health.firstToken)
		}
		if s.health.interTokenSamples > 0 {
			interTokens = append(interTokens, s.health.interTokenLatency)
		}
		if s.health.failures > 0 {
			p.failing++
		}
		ages = append(ages, now.Sub(s.reportedAt))
	}
	p.slowness = median(slow)
	p.firstToken = median(firstTokens)
	p.interTokenLatency = median(interTokens)
	p.reportAge = median(ages)
	r.slownessBuf = slow
	return p
}

func (p peerMedians) isOutlier(now time.Time, s *server) bool {
	h := &s.health
	if p.compared < 2 {
		return false
	}
	if h.failures >= maxConsecutiveFailures && 2*p.failing <= p.compared {
		return true
	}
	if h.samples >= minSamples && h.firstToken > minSlowFirstToken && h.slowness > slowFirstTokenFactor*p.slowness {
		return true
	}
	if h.interTokenSamples >= minSamples && h.interTokenLatency > max(minSlowInterTokenLatency, slowInterTokenFactor*p.interTokenLatency) {
		return true
	}
	age := now.Sub(s.reportedAt)
	silence := max(minSilenceStale, silentFactor*p.firstToken)
	if age < staleReportAge {
		silence = max(minSilence, silence)
	}
	if h.unanswered > 0 && now.Sub(h.lastProgress) > silence {
		return true
	}
	return age > maxReportAge && age > 2*p.reportAge
}

// median returns the median, and the lower of the two middle values of an even number. With
// two backend servers, the slow one would otherwise be compared with itself.
func median[T float64 | time.Duration](xs []T) T {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return xs[(len(xs)-1)/2]
}

// Unhealthy returns the backend servers that were ejected again after a probe, so that a
// temporary fault is no explanation. It leaves out those without any loaded model whose
// ejection time is over: they can be probed only once a model is loaded there.
func (r *Router) Unhealthy() []galenastair.BackendServerID {
	var ids []galenastair.BackendServerID
	for _, s := range r.list {
		h := &s.health
		idle := r.reviewed.After(h.ejectedUntil) && len(s.loaded) == 0
		if h.ejected && h.ejectionTime > baseEjectionTime && !idle {
			ids = append(ids, s.ID)
		}
	}
	return ids
}
