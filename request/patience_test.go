package request

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/claim"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// movingOwnerClaims is unavailable until movedAt and refuses an attempt ID that was used before.
type movingOwnerClaims struct {
	fakeClaims
	seen    map[galenastair.RequestID]bool
	clock   *fakeClock
	movedAt time.Time
}

func (c *movingOwnerClaims) Begin(ctx context.Context, o galenastair.Organisation, key galenastair.IdempotencyKey, d claim.Digest, id galenastair.RequestID) (Claim, error) {
	if c.seen[id] {
		return nil, errors.New("attempt ID was already used")
	}
	c.seen[id] = true
	if c.clock.now.Before(c.movedAt) {
		return nil, galenastair.NewRefusal(galenastair.ErrClaimUnavailable, time.Second, "the key's home moves")
	}
	return c.fakeClaims.Begin(ctx, o, key, d, id)
}

// A request with an idempotency key arrives just after an instance was replaced, while
// the owner of the key is changing. It was refused although the organisation was within
// its rate. If there is no owner for longer, the request must fail within maxOwnerWait,
// not at its deadline.
func TestRequestWaitsForMovingOwner(t *testing.T) {
	for name, c := range map[string]struct {
		unavailable time.Duration
		ok          bool
	}{
		"1 s":   {time.Second, true},
		"1 min": {time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &fakeClock{time.Unix(0, 0)}
			ts := newTestServer(t, fakeAttempt{chunks: 1})
			ts.server.clock = clock
			ts.server.sleep = func(_ context.Context, d time.Duration) bool {
				clock.now = clock.now.Add(d)
				return true
			}
			ts.server.claims = &movingOwnerClaims{fakeClaims: *ts.claims, seen: map[galenastair.RequestID]bool{}, clock: clock, movedAt: clock.now.Add(c.unavailable)}
			call := ts.call()
			call.IdempotencyKey = "bid-7"
			err := ts.server.Complete(context.Background(), call, &textWriter{})
			if c.ok {
				is.NoErr(err)
				return
			}
			is.True(errors.Is(err, galenastair.ErrClaimUnavailable))
			is.True(clock.now.Sub(time.Unix(0, 0)) <= maxOwnerWait)
		})
	}
}
