package request

import (
	"context"
	"errors"

	"galenastair"
)

// failureAction is the reaction to a failed attempt.
type failureAction int

const (
	// actionFail returns the error to the caller at once, so that it can retry elsewhere.
	actionFail failureAction = iota
	// actionRetry sends the request to another backend server.
	actionRetry
	// actionResume requests the rest of the response from the same backend server on a new connection.
	actionResume
)

// requestProgress records what has happened to a request so far.
type requestProgress struct {
	// sent reports that bytes of the request may have reached a backend server that did not decline it.
	sent bool
	// chunks counts the events forwarded to the caller.
	chunks int64
	// resumes counts the attempts to resume the response on a new connection.
	resumes int
	// attempts counts the backend servers that the request was dispatched to.
	attempts int
	// idempotent reports that the request may run more than once.
	idempotent bool
}

// maxResumes limits how often a response is resumed, so that an engine that accepts
// connections and then sends nothing cannot hold a request. Two allow for a second
// connection failure right after the first.
const maxResumes = 2

// maxAttempts limits the backend servers that a request is sent to. Without it, a
// request that every server declines would go through the whole fleet while its
// caller waits.
const maxAttempts = 3

// outcome returns what is known about the execution of the request.
func (p requestProgress) outcome() galenastair.Outcome {
	switch {
	case p.chunks > 0:
		return galenastair.OutcomeRan
	case p.sent:
		return galenastair.OutcomeUnknown
	default:
		return galenastair.OutcomeNotRun
	}
}

// hadNoEffect reports whether the failed attempt is known not to have run.
func hadNoEffect(err error) bool {
	return errors.Is(err, galenastair.ErrNotSent) || errors.Is(err, galenastair.ErrDeclined)
}

// connectionFailed reports whether the connection failed, as opposed to the engine refusing the request.
func connectionFailed(err error) bool {
	return errors.Is(err, galenastair.ErrProgressTimeout) || errors.Is(err, galenastair.ErrResponseTruncated) || errors.Is(err, galenastair.ErrInvalidResponse)
}

// chooseAction returns the reaction to a failed attempt, such as a crashed backend
// server or a connection that stalls under load. A request that is not idempotent is
// never sent again after it may have run. A response that has begun is never
// restarted, because the caller would receive two responses spliced together. A
// request that fails on every backend server ends after maxAttempts.
func chooseAction(p requestProgress, err error) failureAction {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return actionFail
	}
	if p.sent && connectionFailed(err) && p.resumes < maxResumes {
		return actionResume
	}
	if p.chunks > 0 || p.attempts >= maxAttempts {
		return actionFail
	}
	if hadNoEffect(err) || p.idempotent {
		return actionRetry
	}
	return actionFail
}
