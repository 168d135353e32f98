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
	// pollPeriod is how soon an account opens after its duty has moved here, and
	// how often due reports are looked for.
	pollPeriod = 100 * time.Millisecond
	// askTimeout is how long a holder may take before the next one is asked: far
	// beyond a round trip between availability zones, far below what a caller notices.
	askTimeout = 100 * time.Millisecond
	// suspectTerm is how long a holder that did not answer is asked last: one
	// request in that time pays the timeout, not each.
	suspectTerm = 2 * time.Second
)

// Limiter charges requests to the contracts of their organisations, at this
// instance as an entry, and holds shares of contracts for all entries.
type Limiter struct {
	duties    func() Duties
	contracts func() Contracts
	lender    *lender
	clock     galenastair.Clock
	connect   func(galenastair.Peer) ratepb.Rate
	client    *http.Client
	record    func(Grant)
	metrics   *metrics
	advances  bool

	mu       sync.Mutex
	caches   map[galenastair.Organisation]*cache
	outbox   outbox
	number   LoanNumber
	suspects map[galenastair.InstanceID]time.Time
	places   places
}

// Option changes how a limiter is built.
type Option func(*Limiter)

// WithClock sets the clock.
func WithClock(c galenastair.Clock) Option { return func(l *Limiter) { l.clock = c } }

// WithConnect sets how other instances are called, in place of HTTP.
func WithConnect(f func(galenastair.Peer) ratepb.Rate) Option {
	return func(l *Limiter) { l.connect = f }
}

// WithHTTPClient sets the client by which other instances are called.
func WithHTTPClient(c *http.Client) Option { return func(l *Limiter) { l.client = c } }

// WithHistory tells each grant when it is charged and again when it is settled.
func WithHistory(f func(Grant)) Option { return func(l *Limiter) { l.record = f } }

// WithMetrics registers the limiter's metrics.
func WithMetrics(r prometheus.Registerer) Option {
	return func(l *Limiter) { l.metrics = newMetrics(r) }
}

// WithoutAdvances makes entries borrow for one request at a time, as a baseline.
func WithoutAdvances() Option { return func(l *Limiter) { l.advances = false } }

// WithFirstLoan sets the number of the first loan, for runs that are to be the same each time.
func WithFirstLoan(n LoanNumber) Option { return func(l *Limiter) { l.number = n } }

// firstLoans is how many numbers a process draws its first from: few enough to
// encode shortly, many enough that two processes do not meet.
const firstLoans = 1 << 48

// New returns a limiter; duties and contracts return the present views, and Run must be running.
func New(duties func() Duties, contracts func() Contracts, opts ...Option) *Limiter {
	l := &Limiter{
		duties:    duties,
		contracts: contracts,
		lender:    newLender(duties, contracts),
		clock:     galenastair.SystemClock{},
		client:    http.DefaultClient,
		record:    func(Grant) {},
		advances:  true,
		caches:    make(map[galenastair.Organisation]*cache),
		outbox:    make(outbox),
		// A process that is started again under its old ID must not be given the
		// loans of the one before it, whose terms are partly over.
		number:   LoanNumber(rand.Uint64N(firstLoans)),
		suspects: make(map[galenastair.InstanceID]time.Time),
	}
	for _, o := range opts {
		o(l)
	}
	if l.metrics == nil {
		l.metrics = newMetrics(prometheus.NewRegistry())
	}
	if l.connect == nil {
		l.connect = l.overHTTP
	}
	return l
}

// Run keeps shares and loans until the context ends, then gives back what is not spent.
func (l *Limiter) Run(ctx context.Context) error {
	var g run.Group
	for _, work := range []func(context.Context){l.Poll, l.Flush} {
		ctx, cancel := context.WithCancel(ctx)
		g.Add(func() error { return every(ctx, pollPeriod, work) }, func(error) { cancel() })
	}
	err := g.Run()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	l.giveBackAll(last)
	// a planned stop ends here after the ring has moved this instance's shares
	l.Poll(last)
	return err
}

func every(ctx context.Context, period time.Duration, work func(context.Context)) error {
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
