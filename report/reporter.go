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
	// tick is how often the core is asked what to do; half of the shortest period.
	tick = defaultShortest / 2
	// atOnce bounds reads and pushes under way; a frozen engine holds one up for
	// as long as its timeout and must not hold up the others.
	atOnce = 32
	// tellTimeout ends a push to an instance that hangs.
	tellTimeout = time.Second
)

// PathPrefix is where Handler expects to be mounted among the peers' services.
const PathPrefix = reportpb.ReportPathPrefix

// Reader reads one engine.
type Reader interface {
	Report(ctx context.Context, server string) (galenastair.EngineReport, error)
}

// Ports are what a reporter works with; all are needed.
type Ports struct {
	Engine Reader
	// Duties and Servers return what holds now.
	Duties  func() Duties
	Servers func() []Server
	// Deliver takes each report that is younger than the last of its engine; its
	// Age says how old the figures are. It is called one at a time, so that an
	// older report never comes after a younger one, and must not block.
	Deliver func(galenastair.EngineReport)
}

// Reporter reads engines and tells and hears of them.
type Reporter struct {
	ports    Ports
	client   *http.Client
	logger   log.Logger
	clock    galenastair.Clock
	shortest time.Duration

	mu   sync.Mutex
	core *Core
}

// Option changes how a reporter is made.
type Option func(*Reporter)

// WithLogger says where failures are logged.
func WithLogger(l log.Logger) Option { return func(r *Reporter) { r.logger = l } }

// WithClock replaces the machine's clock.
func WithClock(c galenastair.Clock) Option { return func(r *Reporter) { r.clock = c } }

// WithShortest sets the shortest period of reads and of news.
func WithShortest(d time.Duration) Option { return func(r *Reporter) { r.shortest = d } }

// New returns a reporter that works once it runs.
func New(p Ports, opts ...Option) *Reporter {
	r := &Reporter{
		ports:    p,
		client:   &http.Client{Transport: httpclient.NewTransport(), Timeout: tellTimeout},
		logger:   log.NewNopLogger(),
		clock:    galenastair.SystemClock{},
		shortest: defaultShortest,
	}
	for _, opt := range opts {
		opt(r)
	}
	r.core = NewCore(r.shortest)
	return r
}

// Run works until the context ends and then waits for what is under way.
func (r *Reporter) Run(ctx context.Context) error {
	var reads, pushes errgroup.Group
	reads.SetLimit(atOnce)
	pushes.SetLimit(atOnce)
	t := time.NewTicker(min(tick, r.shortest))
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

// step begins what is due; what finds no room waits for its next turn.
func (r *Reporter) step(ctx context.Context, reads, pushes *errgroup.Group) {
	p := r.plan()
	for _, s := range p.Reads {
		reads.TryGo(func() error { r.read(ctx, s); return nil })
	}
	for _, push := range []Push{p.Row, p.Column} {
		if push.empty() {
			continue
		}
		req := encode(push.Told)
		for _, to := range push.To {
			pushes.TryGo(func() error { r.tell(ctx, to, req); return nil })
		}
	}
}

func (r *Reporter) plan() Plan {
	servers, duties := r.ports.Servers(), r.ports.Duties()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.SetServers(servers)
	return r.core.Plan(r.clock.Now(), duties)
}

func (r *Reporter) read(ctx context.Context, s Server) {
	rep, err := r.ports.Engine.Report(ctx, s.Address)
	if err != nil {
		if ctx.Err() == nil {
			_ = r.logger.Log("event", "report", "engine", s.ID, "err", err)
		}
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core.Read(r.clock.Now(), s.ID, rep) {
		rep.BackendServer = s.ID
		r.ports.Deliver(rep)
	}
}

func (r *Reporter) tell(ctx context.Context, to galenastair.Peer, req *reportpb.TellRequest) {
	client := reportpb.NewReportProtobufClient("http://"+to.Address, r.client)
	if _, err := client.Tell(ctx, req); err != nil && ctx.Err() == nil {
		_ = r.logger.Log("event", "report", "peer", to.ID, "err", err)
	}
}

// Handler serves the news of other instances at PathPrefix.
func (r *Reporter) Handler() http.Handler { return reportpb.NewReportServer(r) }

// Tell takes in news of another instance.
func (r *Reporter) Tell(_ context.Context, req *reportpb.TellRequest) (*reportpb.TellResponse, error) {
	told := decode(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rep := range r.core.Heard(r.clock.Now(), told) {
		r.ports.Deliver(rep)
	}
	return &reportpb.TellResponse{}, nil
}
