package report

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"galenastair"
	"galenastair/httpclient"
	"galenastair/peer/reportpb"
)

const (
	// tickInterval is the interval of calls of Tracker.Plan, half of the minimum interval.
	tickInterval = defaultMinInterval / 2
	// maxConcurrent is the maximum number of concurrent polls, and that of sends. An engine
	// that hangs blocks one for the whole timeout and must not delay the others.
	maxConcurrent = 32
	// sendTimeout bounds the time that an unresponsive instance blocks a send.
	sendTimeout = time.Second
)

// PathPrefix is the path at which Handler must be mounted.
const PathPrefix = reportpb.ReportPathPrefix

// EngineClient requests an engine's report from its address.
type EngineClient interface {
	Report(ctx context.Context, server string) (galenastair.EngineReport, error)
}

// Dependencies are what a Reporter depends on; all are required.
type Dependencies struct {
	Engine EngineClient
	// Assignment and Servers return the current assignment and list of engines.
	Assignment func() Assignment
	Servers    func() []Server
	// Deliver is called for each report that is newer than the last one of its engine; Age
	// is set to the report's age. Calls are serialised, so that an older report is never
	// delivered after a newer one. Deliver must not block.
	Deliver func(galenastair.EngineReport)
}

// Reporter polls engines and exchanges their reports with other instances.
type Reporter struct {
	deps        Dependencies
	client      *http.Client
	logger      log.Logger
	clock       galenastair.Clock
	minInterval time.Duration

	mu      sync.Mutex
	tracker *Tracker
}

// Option configures a Reporter.
type Option func(*Reporter)

// WithLogger sets the logger for failed polls and sends.
func WithLogger(l log.Logger) Option { return func(r *Reporter) { r.logger = l } }

// WithClock sets the clock; the default is the system clock.
func WithClock(c galenastair.Clock) Option { return func(r *Reporter) { r.clock = c } }

// WithMinInterval sets the minimum interval of polls and of rounds.
func WithMinInterval(d time.Duration) Option { return func(r *Reporter) { r.minInterval = d } }

// New returns a reporter, which does nothing until Run is called.
func New(p Dependencies, opts ...Option) *Reporter {
	r := &Reporter{
		deps:        p,
		client:      httpclient.NewPeerClient(httpclient.NewTransport()),
		logger:      log.NewNopLogger(),
		clock:       galenastair.SystemClock{},
		minInterval: defaultMinInterval,
	}
	for _, opt := range opts {
		opt(r)
	}
	r.client.Timeout = sendTimeout
	r.tracker = NewTracker(r.minInterval)
	return r
}

// Run polls and sends until the context ends, and then waits for pending polls and sends.
func (r *Reporter) Run(ctx context.Context) error {
	var reads, pushes errgroup.Group
	reads.SetLimit(maxConcurrent)
	pushes.SetLimit(maxConcurrent)
	t := time.NewTicker(min(tickInterval, r.minInterval))
	defer t.Stop()
	for ctx.Err() == nil {
		r.step(ctx, &reads, &pushes)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	_ = reads.Wait()
	_ = pushes.Wait()
	r.client.CloseIdleConnections()
	return ctx.Err()
}

// step starts the polls and sends that are due. Those over the limit of concurrency are
// dropped: a poll is due again after its interval, and a peer misses one round.
func (r *Reporter) step(ctx context.Context, reads, pushes *errgroup.Group) {
	p := r.plan()
	for _, s := range p.Polls {
		reads.TryGo(func() error { r.poll(ctx, s); return nil })
	}
	for _, push := range []Push{p.Row, p.Column} {
		if push.empty() {
			continue
		}
		req := encodeMessage(push.Message)
		for _, to := range push.To {
			pushes.TryGo(func() error { r.send(ctx, to, req); return nil })
		}
	}
}

func (r *Reporter) plan() Plan {
	servers, assignment := r.deps.Servers(), r.deps.Assignment()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.SetServers(servers)
	return r.tracker.Plan(r.clock.Now(), assignment)
}

func (r *Reporter) poll(ctx context.Context, s Server) {
	rep, err := r.deps.Engine.Report(ctx, s.Address)
	if err != nil {
		if ctx.Err() == nil {
			_ = r.logger.Log("event", "report", "engine", s.ID, "err", err)
		}
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tracker.ApplyReport(r.clock.Now(), s.ID, rep) {
		rep.BackendServer = s.ID
		r.deps.Deliver(rep)
	}
}

func (r *Reporter) send(ctx context.Context, to galenastair.Peer, req *reportpb.TellRequest) {
	client := reportpb.NewReportProtobufClient("http://"+to.Address, r.client)
	if _, err := client.Tell(ctx, req); err != nil && ctx.Err() == nil {
		_ = r.logger.Log("event", "report", "peer", to.ID, "err", err)
	}
}

// Handler serves messages of other instances at PathPrefix.
func (r *Reporter) Handler() http.Handler { return reportpb.NewReportServer(r) }

// Tell applies a message of another instance.
func (r *Reporter) Tell(_ context.Context, req *reportpb.TellRequest) (*reportpb.TellResponse, error) {
	msg := decodeMessage(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rep := range r.tracker.ApplyMessage(r.clock.Now(), msg) {
		r.deps.Deliver(rep)
	}
	return &reportpb.TellResponse{}, nil
}
