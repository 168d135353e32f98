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
	// patience is how long a request waits for a duty that is moving to another
	// member. A move by word takes a heartbeat or two, one after a death as long as
	// a lease; the second is not waited for, since the caller can use its time.
	patience = 3 * time.Second
	// firstPause and lastPause space the tries: a few messages for each request.
	firstPause = 50 * time.Millisecond
	lastPause  = 500 * time.Millisecond
)

// moving says that a duty may be taken up again in a moment.
func moving(err error) bool {
	return errors.Is(err, galenastair.ErrClaimUnavailable) || errors.Is(err, galenastair.ErrRateUnavailable)
}

// patiently tries again while a duty is moving.
//
// Failure: an instance is replaced, 350 times a day at the target, and the claims
// and accounts that it held move. It would show as bids refused within their rate
// for a second or two each time. The wait is bounded well below any caller's
// patience, and a request that is given up is told so at once, with the time to
// come back.
func (s *Server) patiently(ctx context.Context, try func() error) error {
	give := s.clock.Now().Add(patience)
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		err := try()
		if err == nil || !moving(err) || s.clock.Now().Add(pause).After(give) {
			return err
		}
		if !s.wait(ctx, pause) {
			return err
		}
	}
}

// begin takes a claim, waiting for a home that moves.
//
// Each try has a name of its own: one that failed was told to be given up, and
// its home refuses it for good; a caller may also send one X-Request-Id twice.
func (s *Server) begin(ctx context.Context, o galenastair.Organisation, key galenastair.IdempotencyKey, d claim.Digest, id galenastair.RequestID) (Claim, error) {
	var taken Claim
	err := s.patiently(ctx, func() (err error) {
		try := galenastair.RequestID(string(id) + "/" + uuid.NewString())
		taken, err = s.claims.Begin(ctx, o, key, d, try)
		return err
	})
	return taken, err
}

// charge takes tokens, waiting for an account that moves.
func (s *Server) charge(ctx context.Context, o galenastair.Organisation, t galenastair.Tokens, id galenastair.RequestID) (Charge, error) {
	var made Charge
	err := s.patiently(ctx, func() (err error) {
		made, err = s.limiter.Charge(ctx, o, t, id)
		return err
	})
	return made, err
}
