package request

import (
	"context"
	"errors"

	"galenastair"
)

// step is what follows on a failure.
type step int

const (
	// giveUp tells the caller now; holding the answer back would only keep it from asking elsewhere.
	giveUp step = iota
	// tryElsewhere sends the request to another backend server.
	tryElsewhere
	// resumeAnswer asks the same backend server for the rest on a new connection.
	resumeAnswer
)

// progress is how far a request has come.
type progress struct {
	// sent says that bytes of it may have reached a backend server that did not decline.
	sent bool
	// chunks counts the events passed on to the caller.
	chunks int64
	// resumes counts the connections that went on with this answer.
	resumes int
	// attempts counts the backend servers that it was given to.
	attempts int
	// idempotent says that running twice does no harm.
	idempotent bool
}

// maxResumes ends an answer whose engine accepts connections and then goes
// silent each time; two cover a cut together with one more.
const maxResumes = 2

// maxAttempts bounds the backend servers that one request may visit, so that a
// request none of them takes does not walk the fleet while the caller waits.
const maxAttempts = 3

// outcome tells truthfully what is known of the request.
func (p progress) outcome() galenastair.Outcome {
	switch {
	case p.chunks > 0:
		return galenastair.Ran
	case p.sent:
		return galenastair.Unknown
	default:
		return galenastair.NotRun
	}
}

// notRun says that the failed attempt certainly had no effect.
func notRun(err error) bool {
	return errors.Is(err, galenastair.ErrNotSent) || errors.Is(err, galenastair.ErrDeclined)
}

// broken says that the connection failed, rather than the engine refusing.
func broken(err error) bool {
	return errors.Is(err, galenastair.ErrSilent) || errors.Is(err, galenastair.ErrAnswerCut) || errors.Is(err, galenastair.ErrCrossed)
}

// decide says what follows on a failed attempt. It is made for backend servers
// that die or connections that go silent under load. Harm prevented: a request
// that may not be repeated is never sent twice; an answer already begun is
// never begun anew, since its caller would read two answers spliced together;
// a request that fails everywhere stops after maxAttempts.
func decide(p progress, err error) step {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return giveUp
	}
	if p.sent && broken(err) && p.resumes < maxResumes {
		return resumeAnswer
	}
	if p.chunks > 0 || p.attempts >= maxAttempts {
		return giveUp
	}
	if notRun(err) || p.idempotent {
		return tryElsewhere
	}
	return giveUp
}
