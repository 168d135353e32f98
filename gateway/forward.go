package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"galenastair"
)

// Peers are the other instances, which serve the requests of an instance that is partitioned from
// all backend servers of a service.
type Peers interface {
	// Partitioned reports whether this instance is partitioned from all servers of the service.
	Partitioned(s galenastair.ServiceName) bool
	// Suspect reports an attempt at a server of the service that got no response.
	Suspect(s galenastair.ServiceName)
	// Confirm is Suspect, and waits until it is known whether this instance is partitioned.
	Confirm(ctx context.Context, s galenastair.ServiceName) bool
	// Addresses returns instances that reach servers of the service, in the order in which to try
	// them.
	Addresses(s galenastair.ServiceName) []string
}

// forwardTargets returns the instances one of which has to serve the request; none if this one can.
// An instance does not forward what another one has forwarded.
func (r *activeRequest) forwardTargets() []string {
	if r.req.Forwarded || !r.g.peers.Partitioned(r.service) {
		return nil
	}
	return r.g.peers.Addresses(r.service)
}

// checkPartition looks, after an attempt without a response, whether this instance is partitioned
// from the service. Only a request that can still be served waits for the result.
func (r *activeRequest) checkPartition(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, galenastair.ErrNotSent), errors.Is(err, galenastair.ErrProgressTimeout):
		r.g.peers.Confirm(ctx, r.service)
	case errors.Is(err, galenastair.ErrResponseTruncated):
		r.g.peers.Suspect(r.service)
	}
}

// forward has another instance serve the request. The next one is tried only if the request was
// not sent, as the other instance may use all attempts that are left.
func (r *activeRequest) forward(ctx context.Context, targets []string) error {
	var err error
	for _, address := range targets {
		err = r.forwardTo(ctx, address)
		var refused *galenastair.Refusal
		if err == nil || errors.As(err, &refused) {
			return err
		}
		if stop := r.checkRetry(ctx, err); stop != nil {
			return stop
		}
	}
	return err
}

// forwardTo sends the request to another instance and forwards its response.
func (r *activeRequest) forwardTo(ctx context.Context, address string) error {
	if _, err := r.g.authorise(&r.req); err != nil {
		return err
	}
	now := r.g.clock.Now()
	r.sends++
	r.g.logger.Log("event", "forward", "request", r.req.ID, "peer", address, "charged", r.charged, "send", r.sends)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := r.g.peerBackend.Call(ctx, address, r.forwardedRequest(now))
	if errors.Is(err, galenastair.ErrNotSent) {
		return err
	}
	if err != nil {
		r.runs = r.maxAttempts()
		return err
	}
	defer resp.Body.Close()
	if resp.Declined {
		return forwardedRefusal(address, resp)
	}
	r.runs, r.forwarded = r.maxAttempts(), true
	// the attempt is at no server of the pool, so that its result counts nowhere
	attempt := r.g.pool.Begin(now, "", r.poolQuery())
	return r.receive(ctx, attempt, resp, func() bool { return true })
}

func (r *activeRequest) forwardedRequest(now time.Time) galenastair.BackendRequest {
	c := r.outgoingRequest(now)
	c.Forwarding = &galenastair.Forwarding{Key: r.req.Key, Charged: r.charged, Attempts: r.maxAttempts() - r.runs, Version: r.streamVersion}
	return c
}

// forwardedRefusal returns another instance's refusal of a request that has not run.
func forwardedRefusal(address string, resp *galenastair.BackendResponse) error {
	cause := galenastair.ErrOverloaded
	switch resp.Status {
	case http.StatusBadRequest:
		cause = galenastair.ErrBadRequest
	case http.StatusUnauthorized:
		cause = galenastair.ErrKeyUnknown
	case http.StatusNotFound:
		cause = galenastair.ErrNotFound
	case http.StatusTooManyRequests:
		cause = galenastair.ErrRateExceeded
	}
	return galenastair.NewRefusal(cause, resp.Backoff, "refused by the instance at "+address)
}
