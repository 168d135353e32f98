package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/admission"
	"galenastair/catalog"
	"galenastair/claim"
	"galenastair/dispatch"
	"galenastair/planner"
	"galenastair/pool"
	"galenastair/ratelimit"
)

// CatalogSource provides the configuration.
type CatalogSource interface {
	// Current returns the current configuration, nil before the first one was read, and
	// how long ago the store confirmed that there is no newer one.
	Current() (*catalog.Catalog, time.Duration)
	// WaitReady waits, for a limited time after the start of the instance, until the first
	// configuration was read.
	WaitReady(context.Context)
}

// Quota charges requests to the rate limits of organisations.
type Quota interface {
	// Take charges the cost if the organisation has enough quota, and returns whether it did.
	Take(now time.Time, o galenastair.Organisation, cost float64) bool
	// Borrow asks for the missing quota. If it is granted, Borrow charges the cost and
	// returns true.
	Borrow(ctx context.Context, o galenastair.Organisation, cost float64) bool
	// RetryAfter returns the time until the organisation has quota for the cost.
	RetryAfter(o galenastair.Organisation, cost float64) time.Duration
}

// Placement has models and adapters loaded that no backend server is known to hold.
type Placement interface {
	// EnsureLoaded asks for a backend server that holds the model or will load it.
	EnsureLoaded(ctx context.Context, name galenastair.ModelName) (planner.Availability, error)
	// RecordDemand adds the expected engine time of a request to the planner's forecast.
	RecordDemand(name galenastair.ModelName, work time.Duration)
}

// Limiter admits requests to backend servers that advertise a rate limit.
type Limiter interface {
	Admit(ctx context.Context, l ratelimit.Limit, maxWait time.Duration) ratelimit.Decision
}

// Settings holds the limits that the platform sets and the state of this instance.
type Settings struct {
	// MaxCatalogAge is the greatest age of a configuration that may admit a key.
	MaxCatalogAge time.Duration
	// MaxDenialAge is the greatest age of a configuration that may deny a request because it
	// has no such route or key.
	MaxDenialAge time.Duration
	// RetryRatio is the share of the requests to a service that may be retried.
	// RetrySlack is the number of retries permitted beyond it, over all instances.
	RetryRatio float64
	RetrySlack float64
	// FleetSize returns the number of instances.
	FleetSize func() int
	// LoadsCurrent reports whether the loads that the other instances report are up to date; nil if
	// they always are.
	LoadsCurrent func() bool
	// Draining reports whether this instance shuts down within seconds.
	Draining func() bool
	// StopsAt returns when this instance cancels the requests that it still serves, zero if it does not
	// shut down; nil if it never does.
	StopsAt func() time.Time
}

// retryBudgetUse is the share of the platform's retry limits that the instances use
// together. They count only their own sends, and the time window in which a client counts
// retries may overlap two of theirs, so the full share could exceed the limit.
const retryBudgetUse = 0.7

// Gateway forwards requests to backend servers.
type Gateway struct {
	settings      Settings
	catalogSource CatalogSource
	pool          *pool.Pool
	backend       galenastair.Backend
	peers         Peers
	peerBackend   galenastair.Backend
	quota         Quota
	placement     Placement
	limiter       Limiter
	permits       Permits
	streams       Streams
	crashes       *claim.CrashTracker
	clock         galenastair.Clock
	logger        log.Logger
	recorder      Recorder

	// admission is nil if requests do not yield to more urgent ones. If admissionDryRun is set, its
	// decisions are logged and not followed.
	admission       *admission.Controller
	admissionDryRun bool

	mu      sync.Mutex
	budgets map[galenastair.ServiceName]*dispatch.RetryBudget
}

// Dependencies are the components that a Gateway uses; all are required.
type Dependencies struct {
	CatalogSource CatalogSource
	Pool          *pool.Pool
	Backend       galenastair.Backend
	Peers         Peers
	// PeerBackend sends requests to other instances.
	PeerBackend galenastair.Backend
	Quota       Quota
	Placement   Placement
	Limiter     Limiter
	Permits     Permits
	Streams     Streams
	Crashes     *claim.CrashTracker
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithLogger sets the logger for routing decisions and finished requests.
func WithLogger(l log.Logger) Option { return func(g *Gateway) { g.logger = l } }

// WithClock replaces the system clock.
func WithClock(c galenastair.Clock) Option { return func(g *Gateway) { g.clock = c } }

// WithRecorder sets the recorder of finished requests.
func WithRecorder(r Recorder) Option { return func(g *Gateway) { g.recorder = r } }

// WithAdmission sets the controller by which less urgent requests yield to more urgent ones. With
// dryRun, its decisions are logged and not followed.
func WithAdmission(c *admission.Controller, dryRun bool) Option {
	return func(g *Gateway) { g.admission, g.admissionDryRun = c, dryRun }
}

// New returns a gateway with the given dependencies.
func New(s Settings, d Dependencies, opts ...Option) *Gateway {
	g := &Gateway{
		settings:      s,
		catalogSource: d.CatalogSource,
		pool:          d.Pool,
		backend:       d.Backend,
		peers:         d.Peers,
		peerBackend:   d.PeerBackend,
		quota:         d.Quota,
		placement:     d.Placement,
		limiter:       d.Limiter,
		permits:       d.Permits,
		streams:       d.Streams,
		crashes:       d.Crashes,
		clock:         galenastair.SystemClock{},
		logger:        log.NewNopLogger(),
		recorder:      noRecorder{},
		budgets:       map[galenastair.ServiceName]*dispatch.RetryBudget{},
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// budget returns the retry budget of a service. Each instance may retry a share of its
// own traffic, and uses its part of RetrySlack, so that all instances together stay within
// the limit without exchanging messages.
func (g *Gateway) budget(s galenastair.ServiceName) *dispatch.RetryBudget {
	b := g.budgets[s]
	if b == nil {
		b = dispatch.NewRetryBudget()
		g.budgets[s] = b
	}
	b.SetBounds(retryBudgetUse*g.settings.RetryRatio, retryBudgetUse*g.settings.RetrySlack/float64(max(1, g.settings.FleetSize())))
	return b
}

func (g *Gateway) earnRetry(s galenastair.ServiceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(s).Earn()
}

func (g *Gateway) spendRetry(s galenastair.ServiceName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(s).Spend()
}

func randomFraction() float64 { return rand.Float64() }
