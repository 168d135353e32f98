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

type handClock struct{ now time.Time }

func (c *handClock) Now() time.Time { return c.now }

// movingClaims has no home for a key until its clock comes to a moment.
type movingClaims struct {
	fakeClaims
	tried map[galenastair.RequestID]bool
	clock *handClock
	until time.Time
}

func (c *movingClaims) Begin(ctx context.Context, o galenastair.Organisation, key galenastair.IdempotencyKey, d claim.Digest, id galenastair.RequestID) (Claim, error) {
	if c.tried[id] {
		return nil, errors.New("this attempt was given up")
	}
	c.tried[id] = true
	if c.clock.now.Before(c.until) {
		return nil, galenastair.Refuse(galenastair.ErrClaimUnavailable, time.Second, "the key's home moves")
	}
	return c.fakeClaims.Begin(ctx, o, key, d, id)
}

// A buyer bids in the second after an entry was replaced. The home of the bid's
// key is moving, and the bid was refused although its organisation was far within
// its rate; the lot was gone when the caller came back. If the home stays away,
// the caller is told within the patience, not near its deadline.
func TestBidWaitsForAMovingHome(t *testing.T) {
	for name, c := range map[string]struct {
		away time.Duration
		ok   bool
	}{
		"a moment": {time.Second, true},
		"for long": {time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &handClock{time.Unix(0, 0)}
			b := newBench(t, attempt{chunks: 1})
			b.server.clock = clock
			b.server.wait = func(_ context.Context, d time.Duration) bool {
				clock.now = clock.now.Add(d)
				return true
			}
			b.server.claims = &movingClaims{fakeClaims: *b.claims, tried: map[galenastair.RequestID]bool{}, clock: clock, until: clock.now.Add(c.away)}
			call := b.call()
			call.IdempotencyKey = "bid-7"
			err := b.server.Complete(context.Background(), call, &textSink{})
			if c.ok {
				is.NoErr(err)
				return
			}
			is.True(errors.Is(err, galenastair.ErrClaimUnavailable))
			is.True(clock.now.Sub(time.Unix(0, 0)) <= patience)
		})
	}
}
