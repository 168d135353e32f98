package rate

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"

	"galenastair"
	"galenastair/peer/ratepb"
)

const (
	// maintenanceInterval is the interval between calls of Reconcile and of Flush. It
	// bounds how long after a reassignment a share is opened and how late a due report
	// is sent.
	maintenanceInterval = 100 * time.Millisecond
	// holderTimeout is how long a holder may take to answer before the next one is
	// asked. It is far longer than a round trip between availability zones and too
	// short for callers to notice.
	holderTimeout = 100 * time.Millisecond
	// unresponsiveTime is how long a holder that did not answer is asked last, so that
	// one request in that time waits for holderTimeout instead of every request.
	unresponsiveTime = 2 * time.Second
)

// Limiter charges requests to their organisations' contracts at this instance, and
// holds shares of contracts from which all entries borrow.
type Limiter struct {
	assignment      func() Assignment
	contracts       func() Contracts
	lender          *lender
	clock           galenastair.Clock
	newClient       func(galenastair.Peer) ratepb.Rate
	httpClient      *http.Client
	onGrant         func(Grant)
	metrics         *metrics
	prefetchEnabled bool

	mu             sync.Mutex
	caches         map[galenastair.Organisation]*loanCache
	outbox         outbox
	lastLoanNumber LoanNumber
	unresponsive   map[galenastair.InstanceID]time.Time
	holders        holderCache
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithClock sets the clock.
func WithClock(c galenastair.Clock) Option { return func(l *Limiter) { l.clock = c } }

// WithRateClient sets the function that returns a client for another instance, in place
// of HTTP.
func WithRateClient(f func(galenastair.Peer) ratepb.Rate) Option {
	return func(l *Limiter) { l.newClient = f }
}

// WithHTTPClient sets the HTTP client for calls to other instances.
func WithHTTPClient(c *http.Client) Option { return func(l *Limiter) { l.httpClient = c } }

// WithGrantObserver sets a function that is called for each grant when it is charged
// and again when it is settled.
func WithGrantObserver(f func(Grant)) Option { return func(l *Limiter) { l.onGrant = f } }

// WithMetrics registers the limiter's metrics.
func WithMetrics(r prometheus.Registerer) Option {
	return func(l *Limiter) { l.metrics = newMetrics(r) }
}

// WithoutPrefetch makes entries borrow for one request at a time, as a baseline for
// measurements.
func WithoutPrefetch() Option { return func(l *Limiter) { l.prefetchEnabled = false } }

// WithFirstLoanNumber sets the number from which loans are numbered, for reproducible
// runs.
func WithFirstLoanNumber(n LoanNumber) Option { return func(l *Limiter) { l.lastLoanNumber = n } }

// firstLoanNumbers is the size of the range from which a process draws its first loan
// number. The numbers are small enough for a short encoding, and the range is large
// enough that two processes do not draw overlapping numbers.
const firstLoanNumbers = 1 << 48

// New returns a limiter. The functions assignment and contracts return the current
// views. Run must be running for shares to be opened and reports to be sent.
func New(assignment func() Assignment, contracts func() Contracts, opts ...Option) *Limiter {
	l := &Limiter{
		assignment:      assignment,
		contracts:       contracts,
		lender:          newLender(assignment, contracts),
		clock:           galenastair.SystemClock{},
		httpClient:      http.DefaultClient,
		onGrant:         func(Grant) {},
		prefetchEnabled: true,
		caches:          make(map[galenastair.Organisation]*loanCache),
		outbox:          make(outbox),
		// A random first number keeps a process that restarts with the same ID from
		// being given the loans of its predecessor, part of whose lifetime is over.
		lastLoanNumber: LoanNumber(rand.Uint64N(firstLoanNumbers)),
		unresponsive:   make(map[galenastair.InstanceID]time.Time),
	}
	for _, o := range opts {
		o(l)
	}
	if l.metrics == nil {
		l.metrics = newMetrics(prometheus.NewRegistry())
	}
	if l.newClient == nil {
		l.newClient = l.newHTTPClient
	}
	return l
}

// Run maintains shares and loans until the context ends, then returns all unspent loans
// to their holders.
func (l *Limiter) Run(ctx context.Context) error {
	var g run.Group
	for _, work := range []func(context.Context){l.Reconcile, l.Flush} {
		ctx, cancel := context.WithCancel(ctx)
		g.Add(func() error { return runEvery(ctx, maintenanceInterval, work) }, func(error) { cancel() })
	}
	err := g.Run()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), holderTimeout)
	defer cancel()
	l.returnAllLoans(last)
	// a planned stop ends here after the membership ring has reassigned this instance's
	// shares: hand them over
	l.Reconcile(last)
	return err
}

func runEvery(ctx context.Context, period time.Duration, work func(context.Context)) error {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		work(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
