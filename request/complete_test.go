package request

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/config"
)

func TestWholeAnswerAndTruthfulOutcome(t *testing.T) {
	errCrash := errors.New("connection reset by peer")
	for name, c := range map[string]struct {
		attempts []attempt
		key      galenastair.IdempotencyKey
		text     string
		cause    error
		outcome  galenastair.Outcome
	}{
		"whole": {attempts: []attempt{{chunks: 3}}, text: "123"},
		"not sent, then elsewhere": {
			attempts: []attempt{{refuse: galenastair.ErrNotSent}, {chunks: 2}}, text: "12",
		},
		"silent, resumed on a new connection without a gap": {
			attempts: []attempt{{chunks: 2, cut: galenastair.ErrSilent}, {chunks: 2}}, text: "1234",
		},
		"cut before the first token, the engine gone: run again elsewhere": {
			attempts: []attempt{{cut: galenastair.ErrAnswerCut}, {refuse: galenastair.ErrStreamGone}, {chunks: 2}}, text: "12",
		},
		"cut after tokens, the engine gone: never begun anew": {
			attempts: []attempt{{chunks: 2, cut: galenastair.ErrAnswerCut}, {refuse: galenastair.ErrStreamGone}, {chunks: 2}},
			text:     "12", cause: galenastair.ErrAnswerCut, outcome: galenastair.Ran,
		},
		"may not be repeated: one certain non-start is no run": {
			attempts: []attempt{{refuse: galenastair.ErrNotSent}, {chunks: 1}}, key: "k", text: "1",
		},
		"may not be repeated: a crash leaves it unknown": {
			attempts: []attempt{{refuse: errCrash}, {chunks: 2}}, key: "k",
			cause: galenastair.ErrBackendServer, outcome: galenastair.Unknown,
		},
		"nobody takes it": {
			attempts: []attempt{{refuse: galenastair.ErrDeclined}, {refuse: galenastair.ErrNotSent}},
			cause:    galenastair.ErrNoBackendServer, outcome: galenastair.NotRun,
		},
		"one crashes, nobody else is left: it may have run": {
			attempts: []attempt{{refuse: errCrash}, {refuse: galenastair.ErrNotSent}},
			cause:    galenastair.ErrNoBackendServer, outcome: galenastair.Unknown,
		},
		"kills what runs it: one more, then refused": {
			attempts: []attempt{{refuse: errCrash}, {refuse: errCrash}, {chunks: 1}},
			cause:    galenastair.ErrPoison, outcome: galenastair.Unknown,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, c.attempts...)
			call := b.call()
			call.IdempotencyKey = c.key
			sink := &textSink{}
			err := b.server.Complete(context.Background(), call, sink)
			is.Equal(sink.text, c.text)
			if c.cause == nil {
				is.NoErr(err)
				is.True(sink.ended)
				return
			}
			is.True(errors.Is(err, c.cause))
			is.True(!sink.ended) // a cut answer never looks whole
			var r *galenastair.Refusal
			is.True(errors.As(err, &r))
			is.Equal(r.Outcome, c.outcome)
		})
	}
}

// A nursery withdraws a leaked key while a long answer streams on it. Without
// the sweep over requests under way the stream goes on to its end, and the
// organisation is charged for a key it believes dead.
func TestWithdrawnKeyEndsStream(t *testing.T) {
	is := is.New(t)
	var b *bench
	b = newBench(t, attempt{chunks: 100, before: func(sequence int64) {
		if sequence == 3 {
			b.configuration.apply(config.KindKeyWithdrawn, config.KeyWithdrawn{KeyHash: galenastair.HashKey(testKey)})
			is.Equal(b.server.Active().EndWithdrawn(b.configuration), 1)
		}
	}})
	sink := &textSink{}
	err := b.server.Complete(context.Background(), b.call(), sink)
	is.True(errors.Is(err, galenastair.ErrKeyWithdrawn))
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Outcome, galenastair.Ran) // a refusal that says "not run" is true
	is.True(!sink.ended)
	is.Equal(b.engine.canceled, 1) // the engine is told to stop
}

// A process is paused past its lease while a request waits in its queue; when it
// goes on, another instance may have taken over. It must not send the request.
func TestLeaseIsCheckedBeforeSending(t *testing.T) {
	is := is.New(t)
	b := newBench(t, attempt{chunks: 1})
	b.lease.lapsed = true
	err := b.server.Complete(context.Background(), b.call(), &textSink{})
	is.True(errors.Is(err, galenastair.ErrNotMember))
	is.Equal(len(b.engine.servers), 0)
}

// An instance is cut off from the log and the other instances, where a key has
// been withdrawn. A caller with an open connection to it never sees /readyz red,
// and was served on the withdrawn key for as long as the cut lasted.
func TestCutOffInstanceServesNobody(t *testing.T) {
	is := is.New(t)
	b := newBench(t, attempt{chunks: 1})
	b.configuration.cutOff = true
	err := b.server.Complete(context.Background(), b.call(), &textSink{})
	is.True(errors.Is(err, galenastair.ErrConfiguration))
	is.Equal(len(b.engine.servers), 0)
}

func TestUnusedChargeIsGivenBack(t *testing.T) {
	is := is.New(t)
	b := newBench(t, attempt{refuse: galenastair.ErrNotSent}, attempt{refuse: galenastair.ErrNotSent})
	err := b.server.Complete(context.Background(), b.call(), &textSink{})
	is.True(err != nil)
	is.Equal(b.limiter.charged, galenastair.Tokens(90+templateTokens))
	is.Equal(b.limiter.used, galenastair.Tokens(0))
}

// A buyer's bid reaches the service, whose connection then breaks. The bid may
// stand; sent again it could commit the mill twice.
func TestBidIsSentOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.service.errs = []error{errors.New("connection reset by peer")}
	call := ServiceCall{Service: "bids", Key: galenastair.HashKey(testKey)}
	call.Method = "POST"
	_, err := b.server.CallService(context.Background(), call)
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Outcome, galenastair.Unknown)
	call.Method = "GET"
	b.service.errs = []error{errors.New("connection reset by peer")}
	answer, err := b.server.CallService(context.Background(), call)
	is.NoErr(err)
	is.Equal(answer.Status, 200)
}
