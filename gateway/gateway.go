package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/catalog"
	"galenastair/claim"
	"galenastair/dispatch"
	"galenastair/planner"
	"galenastair/pool"
	"galenastair/ratelimit"
)

// Views gives the configuration in force and how long ago the store confirmed that
// there is no newer one; nil before the first.
type Views interface {
	View() (*catalog.Catalog, time.Duration)
	// Await waits for the first configuration of an instance that has just started.
	Await(context.Context)
}

// Quota charges organisations.
type Quota interface {
	Take(now time.Time, o galenastair.Organisation, cost float64) bool
	// Borrow asks for what is missing and charges if it was lent.
	Borrow(ctx context.Context, o galenastair.Organisation, cost float64) bool
	Wait(o galenastair.Organisation, cost float64) time.Duration
}

// Placement finds a place for models and adapters that no backend server is known to hold.
type Placement interface {
	Need(ctx context.Context, name galenastair.ModelName) (planner.Promise, error)
	// Asked notes the engine time of a request for the planner's forecast.
	Asked(name galenastair.ModelName, work time.Duration)
}

// Limits admits requests to backend servers that have named a limit.
type Limits interface {
	Admit(ctx context.Context, l ratelimit.Limit, patience time.Duration) ratelimit.Verdict
}

// Settings are the bounds that the platform sets.
type Settings struct {
	// ViewLife is how old a view may be by which a key is admitted.
	ViewLife time.Duration
	// RetryRatio is the part of the requests for a service that may be sent once more,
	// and RetrySlack what may be beyond that, over all instances.
	RetryRatio float64
	RetrySlack float64
	// Fleet returns the number of instances.
	Fleet func() int
	// Closing says that this instance ends within seconds.
	Closing func() bool
}

// retryUse is the part of the retry bounds that instances use: they count their own
// sends only, and a client's window may straddle two of theirs.
const retryUse = 0.7

// Gateway carries requests.
type Gateway struct {
	settings  Settings
	views     Views
	pool      *pool.Pool
	backend   galenastair.Backend
	quota     Quota
	placement Placement
	limits    Limits
	poison    *claim.Poison
	clock     galenastair.Clock
	logger    log.Logger
	recorder  Recorder

	mu      sync.Mutex
	budgets map[galenastair.ServiceName]*dispatch.RetryBudget
}

// Ports are what a gateway works with; all are needed.
type Ports struct {
	Views     Views
	Pool      *pool.Pool
	Backend   galenastair.Backend
	Quota     Quota
	Placement Placement
	Limits    Limits
	Poison    *claim.Poison
}

// Option varies a Gateway.
type Option func(*Gateway)

// WithLogger says where decisions are logged.
func WithLogger(l log.Logger) Option { return func(g *Gateway) { g.logger = l } }

// WithClock replaces the machine's clock.
func WithClock(c galenastair.Clock) Option { return func(g *Gateway) { g.clock = c } }

// WithRecorder says who counts how requests end.
func WithRecorder(r Recorder) Option { return func(g *Gateway) { g.recorder = r } }

// New returns a gateway over its ports.
func New(s Settings, p Ports, opts ...Option) *Gateway {
	g := &Gateway{
		settings:  s,
		views:     p.Views,
		pool:      p.Pool,
		backend:   p.Backend,
		quota:     p.Quota,
		placement: p.Placement,
		limits:    p.Limits,
		poison:    p.Poison,
		clock:     galenastair.SystemClock{},
		logger:    log.NewNopLogger(),
		recorder:  noRecorder{},
		budgets:   map[galenastair.ServiceName]*dispatch.RetryBudget{},
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// budget returns the retry budget of a service. Each instance spends a share of its
// own traffic and its part of the slack, so that all together keep the bound without a
// message.
func (g *Gateway) budget(s galenastair.ServiceName) *dispatch.RetryBudget {
	b := g.budgets[s]
	if b == nil {
		b = dispatch.NewRetryBudget()
		g.budgets[s] = b
	}
	b.SetBounds(retryUse*g.settings.RetryRatio, retryUse*g.settings.RetrySlack/float64(max(1, g.settings.Fleet())))
	return b
}

func (g *Gateway) earn(s galenastair.ServiceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(s).Earn()
}

func (g *Gateway) maySpend(s galenastair.ServiceName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(s).Spend()
}

func draw() float64 { return rand.Float64() }
