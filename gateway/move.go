package gateway

import (
	"errors"
	"time"

	"galenastair/catalog"
	"galenastair/pool"
)

// errServerEnds reports a stream that goes on at another backend server, as its own ends before it.
var errServerEnds = errors.New("the backend server ends before the stream")

// moveMargin is the time before the end of a backend server by which its streams are resumed elsewhere.
// They are checked with each event, and events arrive every few hundred milliseconds at most.
const moveMargin = 500 * time.Millisecond

// shouldMove reports whether a stream has to be resumed at another backend server now, because its own
// has announced to end before the stream does. If so, a retry has been deducted from the budget.
func (r *activeRequest) shouldMove(now time.Time, attempt *pool.Attempt) bool {
	goneAt, answerEnd, announced := attempt.ServerEnd()
	if !announced || !r.moveDue(now, goneAt, answerEnd) || !r.mayMove(now) || !r.g.spendRetry(r.service) {
		return false
	}
	r.g.logger.Log("event", "stream moved", "request", r.req.ID, "server", r.tried[len(r.tried)-1], "after", r.events.lastEventID,
		"left", goneAt.Sub(now), "expected", answerEnd.Sub(now))
	return true
}

// moveDue reports whether it is time to move the stream. The streams of one server move at random times
// until moveMargin before its end, as the other servers would otherwise get all their prompts at once.
// What is still running then and was expected to have ended is moved as well.
func (r *activeRequest) moveDue(now, goneAt, answerEnd time.Time) bool {
	latest := goneAt.Add(-moveMargin)
	if r.moveAt.IsZero() || latest.Before(r.moveAt) {
		r.moveAt = now.Add(time.Duration(randomFraction() * float64(max(0, latest.Sub(now)))))
	}
	if !now.Before(latest) {
		return !answerEnd.After(now) || !answerEnd.Before(goneAt)
	}
	return !answerEnd.Before(goneAt) && !now.Before(r.moveAt)
}

// mayMove reports whether the stream may be sent once more and another backend server can take it. A
// stream that can't go on elsewhere stays where it is: some of its events may still come.
func (r *activeRequest) mayMove(now time.Time) bool {
	if r.admission.route.Kind != catalog.ResumableStream || !r.events.resumable() {
		return false
	}
	if r.runs >= r.maxAttempts() || r.sends >= r.maxAttempts()+maxExtraSends || r.checkPoison() != nil {
		return false
	}
	c, ok := r.g.pool.Choose(now, r.poolQuery())
	return ok && c.Reason == pool.ReasonLowestLatency && c.Limit.PerSecond == 0 && now.Add(c.PredictedLatency).Before(r.deadline)
}
