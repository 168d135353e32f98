package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"galenastair"
	"galenastair/claim"
)

// checkPoison returns a refusal if identical requests, or requests that share a part of their prompts, have
// crashed too many backend servers.
func (r *activeRequest) checkPoison() error {
	now := r.g.clock.Now()
	if err := r.g.crashes.AllowRequest(now, r.digest); err != nil {
		return galenastair.NewRefusal(galenastair.ErrOverloaded, maxRetryAfter, fmt.Sprintf("identical requests crashed the backend servers, digest %s", r.digest))
	}
	err := r.g.crashes.AllowParts(now, r.promptParts())
	if refused := (*galenastair.Refusal)(nil); errors.As(err, &refused) {
		return galenastair.NewRefusal(galenastair.ErrOverloaded, clampRetryAfter(refused.RetryAfter), "requests with a part of the prompt crashed the backend servers, "+refused.Detail)
	}
	return err
}

// lastRun returns the last attempt as the crash tracker knows it. A stream that goes on at another server has been
// answered since its first event.
func (r *activeRequest) lastRun() claim.Run {
	return claim.Run{Digest: r.digest, Parts: r.promptParts(), Server: r.process, AnsweredSince: r.firstByteAt}
}

// recordFailure records what a failed attempt says of its server: that it has crashed, or that the attempt has ended
// while it may run on.
func (r *activeRequest) recordFailure(ctx context.Context, err error) {
	now := r.g.clock.Now()
	var refused *galenastair.Refusal
	switch {
	case errors.As(err, &refused):
		// the attempt has not begun
	case errors.Is(err, galenastair.ErrConnectionRefused):
		r.g.crashes.ServerGone(r.process)
	case errors.Is(err, galenastair.ErrNotSent), errors.Is(err, galenastair.ErrDeclined), r.lastAttempt.ServerEnded(now):
		// the server did not run it, or ended as it had announced
	case ctx.Err() == nil && r.isCrash(err):
		counted := "request"
		if r.g.crashes.RecordCrash(now, r.lastRun()) {
			counted = "parts"
		}
		r.logCrash(now, counted, err)
	default:
		r.g.crashes.RecordEnd(now, r.lastRun(), false)
		if errors.Is(err, galenastair.ErrResponseTruncated) {
			r.logCrash(now, "no", err)
		}
	}
}

// isCrash reports whether the server of a response that broke off, with or without its header, has crashed. If
// the end of the response is not confirmed and something was sent, the server may be sound, unless it
// is seen to have ended.
func (r *activeRequest) isCrash(err error) bool {
	if !errors.Is(err, galenastair.ErrResponseTruncated) {
		return false
	}
	sentSome := !r.admission.route.Kind.Streamed() || r.attemptWrites > 0
	return !errors.Is(err, galenastair.ErrEndUnconfirmed) || !sentSome || errors.Is(err, galenastair.ErrServerEnded)
}

func (r *activeRequest) logCrash(now time.Time, counted string, err error) {
	var answered time.Duration
	if !r.firstByteAt.IsZero() {
		answered = now.Sub(r.firstByteAt)
	}
	r.g.logger.Log("event", "crash", "request", r.req.ID, "server", r.process, "digest", r.digest, "parts", fmt.Sprint(r.promptParts()), "writes", r.attemptWrites, "answered", answered, "counted", counted, "cause", err)
}

func (r *activeRequest) promptParts() []claim.Part {
	return claim.PartsOf(r.service, r.req.Hints.PromptParts)
}

// recordCompletion records that a backend server has completed the request; one that answers with an
// error status may not have run it. The rest of a resumed stream may be too short to crash a server. Of a
// request that is forwarded, only the other instance knows whether the response is a server's.
func (r *activeRequest) recordCompletion(now time.Time) {
	if r.forwarded {
		return
	}
	run := r.lastRun()
	if r.status >= http.StatusMultipleChoices {
		run.Parts = nil
	}
	whole := !r.attemptResumes && (!r.admission.route.Kind.Streamed() || r.attemptWrites > 0)
	r.g.crashes.RecordEnd(now, run, whole && r.status < http.StatusInternalServerError)
}
