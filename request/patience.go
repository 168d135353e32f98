package request

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"galenastair"
	"galenastair/claim"
)

const (
	// maxOwnerWait is how long a request waits for a claim or a rate share whose
	// owner changes to another member. A planned move takes one or two heartbeats. A move
	// after a crash takes as long as a lease; that is not waited for, because the
	// caller can retry elsewhere in the meantime.
	maxOwnerWait = 3 * time.Second
	// initialBackoff and maxBackoff limit the retries to a few messages per request.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// ownerMoving reports whether a claim or a rate share may be available again shortly.
func ownerMoving(err error) bool {
	return errors.Is(err, galenastair.ErrClaimUnavailable) || errors.Is(err, galenastair.ErrRateUnavailable)
}

// retryWhileOwnerMoves retries a call while the owner of its claim or rate share changes.
//
// Instances are replaced 350 times a day at the target scale, and the claims and
// rate shares that they own move to other instances. Without retries, requests within
// their rate would be refused for a second or two each time. The wait is well below
// the timeout of any caller, and a request that still fails is refused with a
// Retry-After.
func (s *Server) retryWhileOwnerMoves(ctx context.Context, call func() error) error {
	giveUpAt := s.clock.Now().Add(maxOwnerWait)
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := call()
		if err == nil || !ownerMoving(err) || s.clock.Now().Add(backoff).After(giveUpAt) {
			return err
		}
		if !s.sleep(ctx, backoff) {
			return err
		}
	}
}

// beginClaim takes a claim and waits if the owner of the key is changing.
//
// Each attempt has its own ID, because the owner permanently refuses an attempt
// that failed and was abandoned. The request ID alone is not unique, since a
// caller may send the same X-Request-Id twice.
func (s *Server) beginClaim(ctx context.Context, o galenastair.Organisation, key galenastair.IdempotencyKey, d claim.Digest, id galenastair.RequestID) (Claim, error) {
	var claimed Claim
	err := s.retryWhileOwnerMoves(ctx, func() (err error) {
		attemptID := galenastair.RequestID(string(id) + "/" + uuid.NewString())
		claimed, err = s.claims.Begin(ctx, o, key, d, attemptID)
		return err
	})
	return claimed, err
}

// charge takes tokens and waits if the owner of the rate share is changing.
func (s *Server) charge(ctx context.Context, o galenastair.Organisation, t galenastair.Tokens, id galenastair.RequestID) (Charge, error) {
	var charged Charge
	err := s.retryWhileOwnerMoves(ctx, func() (err error) {
		charged, err = s.limiter.Charge(ctx, o, t, id)
		return err
	})
	return charged, err
}
