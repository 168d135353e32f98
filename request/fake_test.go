package request

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/claim"
	"galenastair/config"
	"galenastair/contract"
	"galenastair/dispatch"
)

const testKey = "furnir-key"

// fakeConfiguration is a configuration that the test appends records to.
type fakeConfiguration struct {
	t     *testing.T
	state *config.StateMachine
	view  *config.View
	// isolated makes Ready return false.
	isolated bool
}

func newConfiguration(t *testing.T) *fakeConfiguration {
	f := &fakeConfiguration{t: t, state: config.NewStateMachine()}
	f.apply(config.KindContractPublished, config.ContractPublished{Contract: contract.Contract{
		Organisation: "Furnir", Rate: 1000, Burst: 10000,
		Models: []galenastair.ModelName{"m"}, Services: []galenastair.ServiceName{"bids"},
	}})
	f.apply(config.KindKeyGiven, config.KeyGiven{Organisation: "Furnir", KeyHash: galenastair.HashKey(testKey)})
	return f
}

func (f *fakeConfiguration) apply(kind galenastair.RecordKind, body any) {
	is := is.New(f.t)
	r, err := config.NewRecord(kind, "test", body)
	is.NoErr(err)
	data, err := json.Marshal(r)
	is.NoErr(err)
	v := f.state.Apply(galenastair.LogRecord{Offset: f.state.Next(), Data: data})
	is.Equal(v.Outcome, config.Accepted)
	f.view = f.state.View()
}

func (f *fakeConfiguration) View() *config.View { return f.view }

func (f *fakeConfiguration) Ready() bool { return !f.isolated }

type fakeLease struct{ lapsed bool }

func (l *fakeLease) HoldsLease(time.Time) bool { return !l.lapsed }

type fakeLimiter struct{ charged, used galenastair.Tokens }

func (l *fakeLimiter) Charge(_ context.Context, _ galenastair.Organisation, t galenastair.Tokens, _ galenastair.RequestID) (Charge, error) {
	l.charged += t
	return l, nil
}

func (l *fakeLimiter) Settle(t galenastair.Tokens) { l.used += t }

type fakeClaims struct {
	held     map[galenastair.IdempotencyKey]bool
	finished []galenastair.Outcome
}

func (c *fakeClaims) Begin(_ context.Context, _ galenastair.Organisation, key galenastair.IdempotencyKey, _ claim.Digest, _ galenastair.RequestID) (Claim, error) {
	if c.held[key] {
		return nil, &galenastair.Refusal{Cause: galenastair.ErrDuplicate, Outcome: galenastair.OutcomeRan}
	}
	c.held[key] = true
	return c, nil
}

func (c *fakeClaims) Finish(o galenastair.Outcome) { c.finished = append(c.finished, o) }

type unlimitedRetries struct{}

func (unlimitedRetries) MayRetry() bool { return true }

// fakeAttempt is the behaviour of an engine on one connection.
type fakeAttempt struct {
	refuse error
	chunks int
	// cut is the error after the chunks; nil completes the response.
	cut error
	// before is called before each chunk.
	before func(sequence int64)
}

// fakeEngine serves connections with its attempts, in order.
type fakeEngine struct {
	mu       sync.Mutex
	attempts []fakeAttempt
	servers  []string
	resumed  []int64
	canceled int
	galenastair.Engine
}

func (e *fakeEngine) next(ctx context.Context, server string, after int64) (galenastair.ResponseStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.attempts) == 0 {
		return nil, errors.New("fake engine has no attempt left for this connection")
	}
	a := e.attempts[0]
	e.attempts = e.attempts[1:]
	e.servers = append(e.servers, server)
	if a.refuse != nil {
		return nil, a.refuse
	}
	return &fakeStream{ctx: ctx, fakeAttempt: a, sequence: after}, nil
}

func (e *fakeEngine) Complete(ctx context.Context, server string, _ galenastair.Completion) (galenastair.ResponseStream, error) {
	return e.next(ctx, server, 0)
}

func (e *fakeEngine) Resume(ctx context.Context, server string, _ galenastair.RequestID, after int64) (galenastair.ResponseStream, error) {
	e.resumed = append(e.resumed, after)
	return e.next(ctx, server, after)
}

func (e *fakeEngine) Cancel(context.Context, string, galenastair.RequestID) error {
	e.canceled++
	return nil
}

type fakeStream struct {
	ctx context.Context
	fakeAttempt
	sequence int64
	sent     int
	ended    bool
}

func (s *fakeStream) Next() (galenastair.Chunk, error) {
	if err := s.ctx.Err(); err != nil {
		return galenastair.Chunk{}, err
	}
	if s.sent < s.chunks {
		s.sent++
		s.sequence++
		if s.before != nil {
			s.before(s.sequence)
		}
		return galenastair.Chunk{Sequence: s.sequence, Data: fmt.Appendf(nil, "%d", s.sequence)}, nil
	}
	if s.cut != nil {
		return galenastair.Chunk{}, s.cut
	}
	if s.ended {
		return galenastair.Chunk{}, io.EOF
	}
	s.ended = true
	return galenastair.Chunk{Sequence: s.sequence + 1, End: true}, nil
}

func (s *fakeStream) Close() error { return nil }

// textWriter collects the response.
type textWriter struct {
	text  string
	ended bool
}

func (s *textWriter) WriteChunk(c galenastair.Chunk) error {
	s.text += string(c.Data)
	s.ended = s.ended || c.End
	return nil
}

// testServer is a server with fake dependencies and two engines that have the model loaded.
type testServer struct {
	configuration *fakeConfiguration
	lease         *fakeLease
	limiter       *fakeLimiter
	claims        *fakeClaims
	engine        *fakeEngine
	service       *fakeService
	server        *Server
}

func newTestServer(t *testing.T, attempts ...fakeAttempt) *testServer {
	ts := &testServer{
		configuration: newConfiguration(t),
		lease:         &fakeLease{},
		limiter:       &fakeLimiter{},
		claims:        &fakeClaims{held: map[galenastair.IdempotencyKey]bool{}},
		engine:        &fakeEngine{attempts: attempts},
		service:       &fakeService{},
	}
	d := dispatch.New()
	d.SetServers([]dispatch.Server{{ID: "e1", Address: "e1"}, {ID: "e2", Address: "e2"}})
	for _, id := range []galenastair.BackendServerID{"e1", "e2"} {
		d.ApplyReport(galenastair.EngineReport{BackendServer: id, Loaded: []galenastair.LoadedWeights{
			{Weight: galenastair.ModelWeights{Name: "m"}, State: galenastair.LoadStateReady},
		}})
	}
	services := NewServiceList("zone-a")
	services.Set([]galenastair.ListedInstance{{ID: "s1", Service: "bids"}, {ID: "s2", Service: "bids"}})
	ts.server = NewServer(Dependencies{
		Configuration: ts.configuration,
		Lease:         ts.lease,
		Limiter:       ts.limiter,
		Claims:        ts.claims,
		Dispatcher:    d,
		Services:      services,
		Poison:        claim.NewPoisonTracker(nil),
		Retries:       unlimitedRetries{},
		Engine:        ts.engine,
		Service:       ts.service,
	})
	return ts
}

func (ts *testServer) call() Call {
	return Call{
		ID: "r", Key: galenastair.HashKey(testKey), Model: "m", Body: []byte(`{"model":"m"}`),
		OutputTokens: 90, Deadline: time.Now().Add(time.Minute),
	}
}

type fakeService struct{ errs []error }

func (s *fakeService) Call(context.Context, string, galenastair.ServiceRequest) (galenastair.ServiceResponse, error) {
	if len(s.errs) == 0 {
		return galenastair.ServiceResponse{Status: 200, Body: io.NopCloser(nil)}, nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return galenastair.ServiceResponse{}, err
}
