package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/membudget"
)

// respondLarge answers with a body of n bytes, with or without its length, and breaks off after sent.
func respondLarge(n, sent int, withLength bool) script {
	return func(context.Context, galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		h := http.Header{}
		if withLength {
			h.Set("Content-Length", strconv.Itoa(n))
		}
		body := io.NopCloser(bytes.NewReader(bytes.Repeat([]byte("x"), sent)))
		if sent < n {
			body = truncatedBody{body}
		}
		return &galenastair.BackendResponse{Status: 200, Header: h, Body: body}, nil
	}
}

func (env *testEnv) serveHeld(t *testing.T, b *membudget.Budget, path string, w ResponseWriter) (bool, error) {
	t.Helper()
	x, ok := b.Begin(time.Now(), func() {})
	if !ok {
		t.Fatal("the budget is full")
	}
	defer x.Close()
	r := testRequest(path)
	r.Held = x
	return env.gateway.Serve(t.Context(), r, w)
}

// measuringWriter records the greatest write and what the budget held during it.
type measuringWriter struct {
	recordedResponse
	budget     *membudget.Budget
	maxWrite   int
	maxHeld    galenastair.Bytes
	bodiesHeld galenastair.Bytes
}

func (w *measuringWriter) Write(p []byte) error {
	s := w.budget.State()
	w.maxWrite, w.maxHeld, w.bodiesHeld = max(w.maxWrite, len(p)), max(w.maxHeld, s.Held), s.BySide["Bodies"]
	return w.recordedResponse.Write(p)
}

// Answers of all sizes must be whole with a bound, and none may be held beyond it. Guards against a large
// answer that is buffered, and against a piece that is lost where buffering ends.
func TestAnswersAreWholeWithinABound(t *testing.T) {
	for _, limit := range []galenastair.Bytes{100 << 20, 1 << 20, 100 << 10} {
		for _, n := range []int{0, 1, 1000, maxUnknownBytes, maxUnknownBytes + 1, 200 << 10, maxBufferedBytes, maxBufferedBytes + 1, 1 << 20} {
			for _, withLength := range []bool{true, false} {
				is := is.New(t)
				b := membudget.New(limit)
				env := newTestEnv(respondLarge(n, n, withLength))
				w := &measuringWriter{budget: b}
				_, err := env.serveHeld(t, b, "/read/1", w)
				is.NoErr(err)
				is.Equal(w.body.Len(), n)
				is.True(w.maxHeld <= limit)
				is.True(w.maxWrite <= membudget.SocketBuffer)
				is.Equal(w.bodiesHeld, galenastair.Bytes(0))
				is.Equal(b.State().Held, galenastair.Bytes(0))
			}
		}
	}
}

// Guards against an answer that breaks off and looks complete, or of which the caller gets two.
func TestAnswersThatBreakOffWithinABound(t *testing.T) {
	for _, sent := range []int{10, 100 << 10, 600 << 10} {
		is := is.New(t)
		b := membudget.New(1 << 20)
		env := newTestEnv(respondLarge(1<<20, sent, true), respondLarge(1000, 1000, true))
		w := &measuringWriter{budget: b}
		wroteHeader, err := env.serveHeld(t, b, "/read/1", w)
		is.True(wroteHeader)
		is.True(err != nil)
		is.Equal(w.body.Len(), sent)
		is.Equal(len(env.backend.calls), 1)
	}
}

// A small answer breaks off before its caller gets any of it. Guards against a bound that keeps it from
// being retried.
func TestSmallAnswersAreRetriedWithinABound(t *testing.T) {
	is := is.New(t)
	b := membudget.New(10 << 20)
	env := newTestEnv(respondLarge(1000, 500, true), respondLarge(1000, 1000, true))
	w := &measuringWriter{budget: b}
	_, err := env.serveHeld(t, b, "/read/1", w)
	is.NoErr(err)
	is.Equal(w.body.Len(), 1000)
	is.Equal(string(env.backend.calls[1].Body), "body")
}

// Guards against an error status that is forwarded, with a bound, although the request may be retried.
func TestFailuresAreRetriedWithinABound(t *testing.T) {
	is := is.New(t)
	b := membudget.New(10 << 20)
	env := newTestEnv(respond(500, "failed"), respond(200, "good"))
	w := &measuringWriter{budget: b}
	_, err := env.serveHeld(t, b, "/read/1", w)
	is.NoErr(err)
	is.Equal(w.body.String(), "good")
}

// Guards against events that are lost or repeated while buffers are small.
func TestStreamsAreWholeWithinABound(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	for n := range 50 {
		text.WriteString("id: " + strconv.Itoa(n) + "\ndata: " + string(bytes.Repeat([]byte("x"), 400*n)) + "\n\n")
	}
	b := membudget.New(100 << 10)
	env := newTestEnv(respond(200, text.String()))
	w := &measuringWriter{budget: b}
	_, err := env.serveHeld(t, b, "/stream/1", w)
	is.NoErr(err)
	is.Equal(w.body.String(), text.String())
	is.True(w.maxWrite <= membudget.SocketBuffer)
}

// fakeBody is a body that is passed on as it arrives.
type fakeBody struct {
	io.Reader
	started  bool
	deadline time.Time
}

func (b *fakeBody) Length() int64           { return 1000 }
func (b *fakeBody) Started() bool           { return b.started }
func (b *fakeBody) SetDeadline(t time.Time) { b.deadline = t }

func (env *testEnv) servePassedOn(t *testing.T, path string, body *fakeBody) error {
	t.Helper()
	x, _ := membudget.New(10<<20).Begin(time.Now(), func() {})
	defer x.Close()
	r := testRequest(path)
	r.Held, r.Body, r.Streamed = x, nil, body
	_, err := env.gateway.Serve(t.Context(), r, &recordedResponse{})
	return err
}

// A backend server fails, declines or breaks off, before and after it has got some of a body that is passed
// on. Guards against a second server that gets the rest of the body, and against a refusal that states that
// a request has not run although it may have.
func TestPassedOnBodiesAreSentOnce(t *testing.T) {
	for _, test := range []struct {
		first   script
		outcome galenastair.Outcome
	}{
		{respond(500, "failed"), ""},
		{truncate("half"), galenastair.OutcomeUnknown},
		{failWith(galenastair.ErrBodyTruncated), galenastair.OutcomeUnknown},
		{failWith(galenastair.ErrProgressTimeout), galenastair.OutcomeUnknown},
		{decline(), galenastair.OutcomeNotRun},
	} {
		is := is.New(t)
		body := &fakeBody{}
		env := newTestEnv(func(ctx context.Context, c galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
			body.started = true
			return test.first(ctx, c)
		}, respond(200, "good"))
		err := env.servePassedOn(t, "/read/1", body)
		is.Equal(len(env.backend.calls), 1)
		is.True(!body.deadline.IsZero())
		var refused *galenastair.Refusal
		if errors.As(err, &refused) {
			is.Equal(refused.Outcome, test.outcome)
		} else {
			is.Equal(test.outcome, galenastair.Outcome(""))
		}
	}
}

// Guards against a request that is refused although none of its body has been sent.
func TestPassedOnBodyThatWasNotSentIsSentElsewhere(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(failWith(galenastair.ErrNotSent), respond(200, "good"))
	is.NoErr(env.servePassedOn(t, "/bid/1", &fakeBody{}))
	is.Equal(len(env.backend.calls), 2)
}

// A large answer begins just as its server counts as silent. Guards against one that then breaks off,
// although nothing of it has been forwarded and another server could answer.
func TestLargeAnswerThatIsCancelledAtItsStart(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(func(ctx context.Context, _ galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		late := readerFunc(func(p []byte) (int, error) {
			<-ctx.Done()
			return copy(p, "late"), nil
		})
		return &galenastair.BackendResponse{Status: 200, Header: http.Header{"Content-Length": {"1000000"}}, Body: io.NopCloser(late)}, nil
	}, respondLarge(1000, 1000, true))
	b := membudget.New(10 << 20)
	w := &measuringWriter{budget: b}
	_, err := env.serveHeld(t, b, "/read/1", w)
	is.NoErr(err)
	is.Equal(w.body.Len(), 1000)
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// The budget is filled to more than the share of streams. Guards against a stream that is sent nevertheless,
// a refusal that comes back later than its caller waits, and a plain request that is refused too.
func TestStreamsAreRefusedWhileMemoryIsShort(t *testing.T) {
	is := is.New(t)
	b := membudget.New(20 * membudget.ExchangeBytes)
	for range 16 {
		_, ok := b.Begin(time.Now(), func() {})
		is.True(ok)
	}
	env := newTestEnv(respond(200, "good"))
	_, err := env.serveHeld(t, b, "/stream/1", &recordedResponse{})
	var refused *galenastair.Refusal
	is.True(errors.As(err, &refused))
	is.Equal(refused.Status(), http.StatusServiceUnavailable)
	is.Equal(refused.Outcome, galenastair.OutcomeNotRun)
	is.True(refused.RetryAfter > 0 && refused.RetryAfter <= 2*time.Second/3)
	is.Equal(len(env.backend.calls), 0)
	_, err = env.serveHeld(t, b, "/read/1", &recordedResponse{})
	is.NoErr(err)
}
