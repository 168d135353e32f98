package request

import (
	"context"
	"time"

	"galenastair"
	"galenastair/claim"
	"galenastair/config"
	"galenastair/dispatch"
)

// ConfigurationSource provides the current configuration.
type ConfigurationSource interface {
	// View returns nil until the first configuration is loaded.
	View() *config.View
	// Ready reports whether this instance may serve requests with the configuration:
	// it is not partitioned from the log and the other instances, and it supports
	// the rules of all records.
	Ready() bool
}

// Lease reports whether this instance holds a valid membership lease.
type Lease interface {
	HoldsLease(now time.Time) bool
}

// Limiter charges organisations for their requests before they are sent.
type Limiter interface {
	Charge(ctx context.Context, o galenastair.Organisation, t galenastair.Tokens, id galenastair.RequestID) (Charge, error)
}

// Charge is the number of tokens that a request was charged. Settle returns the
// unused part to the organisation.
type Charge interface {
	Settle(used galenastair.Tokens)
}

// Claims prevents requests with an idempotency key from being sent twice.
type Claims interface {
	Begin(ctx context.Context, o galenastair.Organisation, key galenastair.IdempotencyKey, d claim.Digest, id galenastair.RequestID) (Claim, error)
}

// Claim is the right to send one request with an idempotency key once.
type Claim interface {
	Finish(o galenastair.Outcome)
}

// Dispatcher decides when a model request is sent, and to which backend server.
type Dispatcher interface {
	Acquire(ctx context.Context, r dispatch.Request) (*dispatch.Grant, error)
}

// Services chooses the instance of a plain service for a call.
type Services interface {
	Choose(name galenastair.ServiceName, exclude []galenastair.BackendServerID) (ServiceGrant, error)
}

// ServiceGrant is the right to send one call to one instance of a plain service.
type ServiceGrant struct {
	Server  galenastair.BackendServerID
	Address string
	Reason  string
	Release func()
}

// PoisonTracker records the requests that crashed the backend servers that ran them.
type PoisonTracker interface {
	// Allow returns a refusal if the request has crashed too many backend servers.
	Allow(now time.Time, d claim.Digest) error
	// RecordCrash counts a crash and reports whether the request may be retried.
	RecordCrash(now time.Time, c claim.Crash) bool
}

// RetryBudget limits retries to a fraction of the traffic.
type RetryBudget interface {
	MayRetry() bool
}
