package request

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/config"
)

// A failed request must be retried or resumed only where that is safe, and must be
// reported with the outcome that it really had.
func TestRetriesAndOutcomes(t *testing.T) {
	errCrash := errors.New("connection reset by peer")
	for name, c := range map[string]struct {
		attempts []fakeAttempt
		key      galenastair.IdempotencyKey
		text     string
		cause    error
		outcome  galenastair.Outcome
	}{
		"complete response": {attempts: []fakeAttempt{{chunks: 3}}, text: "123"},
		"not sent, retried on another server": {
			attempts: []fakeAttempt{{refuse: galenastair.ErrNotSent}, {chunks: 2}}, text: "12",
		},
		"stalled, resumed on a new connection without a gap": {
			attempts: []fakeAttempt{{chunks: 2, cut: galenastair.ErrProgressTimeout}, {chunks: 2}}, text: "1234",
		},
		"cut before the first token, engine gone: retried on another server": {
			attempts: []fakeAttempt{{cut: galenastair.ErrResponseTruncated}, {refuse: galenastair.ErrStreamNotFound}, {chunks: 2}}, text: "12",
		},
		"cut after tokens, engine gone: not restarted": {
			attempts: []fakeAttempt{{chunks: 2, cut: galenastair.ErrResponseTruncated}, {refuse: galenastair.ErrStreamNotFound}, {chunks: 2}},
			text:     "12", cause: galenastair.ErrResponseTruncated, outcome: galenastair.OutcomeRan,
		},
		"idempotency key, not sent: retried": {
			attempts: []fakeAttempt{{refuse: galenastair.ErrNotSent}, {chunks: 1}}, key: "k", text: "1",
		},
		"idempotency key, crash: not retried, outcome unknown": {
			attempts: []fakeAttempt{{refuse: errCrash}, {chunks: 2}}, key: "k",
			cause: galenastair.ErrBackendFailed, outcome: galenastair.OutcomeUnknown,
		},
		"no server accepts it": {
			attempts: []fakeAttempt{{refuse: galenastair.ErrDeclined}, {refuse: galenastair.ErrNotSent}},
			cause:    galenastair.ErrNoBackendServer, outcome: galenastair.OutcomeNotRun,
		},
		"one server crashes, none is left: outcome unknown": {
			attempts: []fakeAttempt{{refuse: errCrash}, {refuse: galenastair.ErrNotSent}},
			cause:    galenastair.ErrNoBackendServer, outcome: galenastair.OutcomeUnknown,
		},
		"crashes its servers: retried once, then refused": {
			attempts: []fakeAttempt{{refuse: errCrash}, {refuse: errCrash}, {chunks: 1}},
			cause:    galenastair.ErrPoisonRequest, outcome: galenastair.OutcomeUnknown,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ts := newTestServer(t, c.attempts...)
			call := ts.call()
			call.IdempotencyKey = c.key
			writer := &textWriter{}
			err := ts.server.Complete(context.Background(), call, writer)
			is.Equal(writer.text, c.text)
			if c.cause == nil {
				is.NoErr(err)
				is.True(writer.ended)
				return
			}
			is.True(errors.Is(err, c.cause))
			is.True(!writer.ended) // a truncated response must not look complete
			var r *galenastair.Refusal
			is.True(errors.As(err, &r))
			is.Equal(r.Outcome, c.outcome)
		})
	}
}

// An organisation withdraws a leaked key while a long response is streamed for it.
// Unless requests in flight are cancelled, the stream goes on to its end and the
// organisation is charged for it.
func TestWithdrawnKeyCancelsStream(t *testing.T) {
	is := is.New(t)
	var ts *testServer
	ts = newTestServer(t, fakeAttempt{chunks: 100, before: func(sequence int64) {
		if sequence == 3 {
			ts.configuration.apply(config.KindKeyWithdrawn, config.KeyWithdrawn{KeyHash: galenastair.HashKey(testKey)})
			is.Equal(ts.server.Active().CancelWithdrawn(ts.configuration), 1)
		}
	}})
	writer := &textWriter{}
	err := ts.server.Complete(context.Background(), ts.call(), writer)
	is.True(errors.Is(err, galenastair.ErrKeyWithdrawn))
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Outcome, galenastair.OutcomeRan) // NotRun may only be reported if the request did not run
	is.True(!writer.ended)
	is.Equal(ts.engine.canceled, 1) // the request is cancelled on the engine
}

// A process is paused until after its lease expired while a request is queued. When
// it continues, another instance may have taken over, so it must not send the request.
func TestLeaseIsCheckedBeforeSending(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t, fakeAttempt{chunks: 1})
	ts.lease.lapsed = true
	err := ts.server.Complete(context.Background(), ts.call(), &textWriter{})
	is.True(errors.Is(err, galenastair.ErrNotMember))
	is.Equal(len(ts.engine.servers), 0)
}

// An instance is partitioned from the log and the other instances when a key is
// withdrawn. A caller with an open connection does not check /readyz and was served
// with the withdrawn key for as long as the partition lasted.
func TestIsolatedInstanceRefusesRequests(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t, fakeAttempt{chunks: 1})
	ts.configuration.isolated = true
	err := ts.server.Complete(context.Background(), ts.call(), &textWriter{})
	is.True(errors.Is(err, galenastair.ErrNoConfiguration))
	is.Equal(len(ts.engine.servers), 0)
}

func TestUnusedChargeIsReturned(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t, fakeAttempt{refuse: galenastair.ErrNotSent}, fakeAttempt{refuse: galenastair.ErrNotSent})
	err := ts.server.Complete(context.Background(), ts.call(), &textWriter{})
	is.True(err != nil)
	is.Equal(ts.limiter.charged, galenastair.Tokens(90+chatTemplateTokens))
	is.Equal(ts.limiter.used, galenastair.Tokens(0))
}

// A POST reaches the service before the connection breaks, so it may have taken
// effect. Sending it again could place the same bid twice. A GET is retried.
func TestUnsafeServiceCallIsSentOnce(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t)
	ts.service.errs = []error{errors.New("connection reset by peer")}
	call := ServiceCall{Service: "bids", Key: galenastair.HashKey(testKey)}
	call.Method = "POST"
	_, err := ts.server.CallService(context.Background(), call)
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Outcome, galenastair.OutcomeUnknown)
	call.Method = "GET"
	ts.service.errs = []error{errors.New("connection reset by peer")}
	answer, err := ts.server.CallService(context.Background(), call)
	is.NoErr(err)
	is.Equal(answer.Status, 200)
}

// countingRecorder counts the summaries that it was given.
type countingRecorder struct{ summaries []Summary }

func (r *countingRecorder) RequestEnded(s Summary) { r.summaries = append(r.summaries, s) }

// endWriter notes how many requests were recorded when the end of the response was written.
type endWriter struct {
	recorder *countingRecorder
	atEnd    int
}

func (w *endWriter) WriteChunk(c galenastair.Chunk) error {
	if c.End {
		w.atEnd = len(w.recorder.summaries)
	}
	return nil
}

// Guards against a caller that has its whole response and does not find it in the metrics.
func TestResponseIsRecordedBeforeItsEndIsWritten(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t, fakeAttempt{chunks: 2})
	recorder := &countingRecorder{}
	WithRecorder(recorder)(ts.server)
	writer := &endWriter{recorder: recorder}
	is.NoErr(ts.server.Complete(context.Background(), ts.call(), writer))
	is.Equal(writer.atEnd, 1)
	is.Equal(len(recorder.summaries), 1)
	is.Equal(recorder.summaries[0].Outcome, galenastair.OutcomeRan)
	is.True(recorder.summaries[0].Used > 0)
}

// Guards against crashes that are not counted because the request may not be retried.
func TestCrashesOfRequestsThatAreNotRetriedCount(t *testing.T) {
	is := is.New(t)
	errCrash := errors.New("connection reset by peer")
	ts := newTestServer(t, fakeAttempt{refuse: errCrash}, fakeAttempt{refuse: errCrash}, fakeAttempt{chunks: 1})
	for i, cause := range []error{galenastair.ErrBackendFailed, galenastair.ErrPoisonRequest, galenastair.ErrPoisonRequest} {
		call := ts.call()
		call.IdempotencyKey = galenastair.IdempotencyKey(fmt.Sprint("key", i))
		writer := &textWriter{}
		is.True(errors.Is(ts.server.Complete(context.Background(), call, writer), cause))
		is.Equal(writer.text, "")
	}
}
