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
	if err := r.g.poison.Allow(r.g.clock.Now(), r.digest); err != nil {
		return galenastair.NewRefusal(galenastair.ErrOverloaded, maxRetryAfter, fmt.Sprintf("identical requests crashed the backend servers, digest %s", r.digest))
	}
	if err := r.g.parts.Allow(r.g.clock.Now(), r.promptParts()); err != nil {
		return galenastair.NewRefusal(galenastair.ErrOverloaded, maxRetryAfter, "requests with a part of the prompt crashed the backend servers")
	}
	return nil
}

// recordCrash counts a response that broke off, with or without its header, as a crash under
// the request. A server that ends when it has announced to has not crashed, nor may one have that sent
// something before its connection ended.
func (r *activeRequest) recordCrash(ctx context.Context, err error) {
	now := r.g.clock.Now()
	if ctx.Err() != nil || !errors.Is(err, galenastair.ErrResponseTruncated) || r.lastAttempt.ServerEnded(now) {
		return
	}
	parts := r.promptParts()
	sentSome := !r.admission.route.Kind.Streamed() || r.attemptWrites > 0
	counted := "no"
	if !errors.Is(err, galenastair.ErrEndUnconfirmed) || !sentSome {
		counted = "request"
		r.g.poison.RecordCrash(now, claim.Crash{Digest: r.digest, Server: r.process})
		if r.attemptWrites <= 1 {
			// a server that has answered for some time did not crash because it began to
			counted = "parts"
			r.g.parts.RecordCrash(now, parts, r.process)
		}
	}
	r.g.logger.Log("event", "crash", "request", r.req.ID, "server", r.process, "digest", r.digest, "parts", fmt.Sprint(parts), "writes", r.attemptWrites, "answered", r.answeredFor(now), "counted", counted, "cause", err)
}

// answeredFor returns the time since the first event of the current attempt, 0 if there is none.
func (r *activeRequest) answeredFor(now time.Time) time.Duration {
	if r.attemptWrites == 0 {
		return 0
	}
	return now.Sub(r.attemptBegan)
}

func (r *activeRequest) promptParts() []claim.Part {
	return claim.PartsOf(r.service, r.req.Hints.PromptParts)
}

// recordCompletion records that a backend server has completed the request; one that answers with an
// error status may not have run it. Of a request that is forwarded, only the other instance knows
// whether the response is a server's.
func (r *activeRequest) recordCompletion(now time.Time) {
	if r.forwarded || r.status >= http.StatusInternalServerError {
		return
	}
	if r.g.poison.RecordSuccess(now, r.digest) {
		r.g.logger.Log("event", "crashes cleared", "request", r.req.ID, "digest", r.digest, "status", r.status)
	}
	parts := r.promptParts()
	if r.status < http.StatusMultipleChoices && r.g.parts.RecordSuccess(now, parts) {
		r.g.logger.Log("event", "crashes cleared", "request", r.req.ID, "server", r.process, "parts", fmt.Sprint(parts), "writes", r.attemptWrites, "after", r.req.LastEventID)
	}
}
