package pool

import "time"

const (
	// ejectAfterFailures is the number of consecutive failures that ejects a server. A request
	// that crashes its server and the one retry of it cause two.
	ejectAfterFailures = 3
	// failureRateWeight is the minimum weight of one result in the failure rate.
	failureRateWeight = 0.2
	// maxFailureRate is the failure rate that ejects a server. There, callers whose requests
	// cannot be repeated lose almost every second one.
	maxFailureRate = 0.45
	// minSamples is the number of results that a failure rate needs to count.
	minSamples = 4
	// baseEjectionTime and maxEjectionTime bound how long a server stays ejected before one
	// request probes it. A crashed server is back after some seconds.
	baseEjectionTime = time.Second
	maxEjectionTime  = 8 * time.Second
	// stallTimeout is how long a server with unanswered requests may make no progress, in addition
	// to the predicted latency, before it counts as stalled.
	stallTimeout = 900 * time.Millisecond
	// fullBackoff is how long requests for a model avoid a server that declined one as full, if
	// others hold the model. The server has no capacity or is about to unload the model.
	fullBackoff = 400 * time.Millisecond
)

// health tracks how a server has answered this instance.
type health struct {
	consecutiveFailures int
	failureRate         float64
	samples             int
	ejectedUntil        time.Time
	ejectionTime        time.Duration
	probing             bool
	lastProgress        time.Time
	awaitingFirstEvent  int
}

func (h *health) sent(now time.Time) {
	if h.awaitingFirstEvent == 0 {
		h.lastProgress = now
	}
	h.awaitingFirstEvent++
}

func (h *health) started(now time.Time) {
	h.awaitingFirstEvent = max(0, h.awaitingFirstEvent-1)
	h.lastProgress = now
}

func (h *health) succeeded() {
	h.consecutiveFailures, h.ejectionTime, h.probing = 0, 0, false
	h.ejectedUntil = time.Time{}
	h.observe(0)
}

func (h *health) failed(now time.Time) {
	h.consecutiveFailures++
	h.observe(1)
	if h.consecutiveFailures >= ejectAfterFailures || h.samples >= minSamples && h.failureRate > maxFailureRate || h.probing {
		h.eject(now)
	}
}

// serverError records an error that the server itself returned. Some requests fail on every
// server, so only the failure rate counts, not consecutive failures.
func (h *health) serverError(now time.Time) {
	h.consecutiveFailures = 0
	h.observe(1)
	if h.samples >= minSamples && h.failureRate > maxFailureRate || h.probing {
		h.eject(now)
	}
}

// forgetFailures restores the state of a server that has not failed.
func (h *health) forgetFailures() {
	h.consecutiveFailures, h.failureRate, h.samples = 0, 0, 0
	h.ejectedUntil, h.ejectionTime, h.probing = time.Time{}, 0, false
}

func (h *health) observe(failure float64) {
	h.samples++
	h.failureRate += max(failureRateWeight, 1/float64(h.samples)) * (failure - h.failureRate)
}

func (h *health) eject(now time.Time) {
	h.ejectionTime = min(maxEjectionTime, max(baseEjectionTime, 2*h.ejectionTime))
	h.ejectedUntil = now.Add(h.ejectionTime)
	h.probing = false
	h.consecutiveFailures = 0
}

// isEjected reports whether the server is ejected or being probed.
func (h *health) isEjected(now time.Time) bool { return now.Before(h.ejectedUntil) || h.probing }

// mayProbe reports whether the ejection time is over and no request is probing the server yet.
func (h *health) mayProbe(now time.Time) bool {
	return !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil) && !h.probing
}

// stalled reports whether the server has made no progress for longer than predicted. A frozen or
// dead server sends nothing, and its connections stay open.
func (h *health) stalled(now time.Time, predicted time.Duration) bool {
	return h.awaitingFirstEvent > 0 && now.Sub(h.lastProgress) > stallTimeout+predicted
}
