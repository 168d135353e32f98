package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"galenastair"
	"galenastair/claim"
	"galenastair/pool"
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
func (r *activeRequest) recordCrash(ctx context.Context, choice pool.Choice, err error) {
	sentSome := !r.admission.route.Kind.Streamed() || r.attemptWrites > 0
	if errors.Is(err, galenastair.ErrEndUnconfirmed) && sentSome {
		return
	}
	if ctx.Err() != nil || !errors.Is(err, galenastair.ErrResponseTruncated) || r.lastAttempt.ServerEnded(r.g.clock.Now()) {
		return
	}
	server := claim.ServerProcess(fmt.Sprintf("%s@%d", choice.ID, choice.Incarnation))
	r.g.poison.RecordCrash(r.g.clock.Now(), claim.Crash{Digest: r.digest, Server: server})
	parts := r.promptParts()
	if r.attemptWrites <= 1 {
		// a server that has answered for some time did not crash because it began to
		r.g.parts.RecordCrash(r.g.clock.Now(), parts, server)
	}
	r.g.logger.Log("event", "crash", "request", r.req.ID, "server", server, "digest", r.digest, "parts", fmt.Sprint(parts), "writes", r.attemptWrites, "cause", err)
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
	if r.status < http.StatusMultipleChoices {
		r.g.parts.RecordSuccess(now, r.promptParts())
	}
}
