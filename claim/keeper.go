package claim

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenastair"
	"galenastair/peer/claimpb"
)

const (
	// tickPeriod is how soon outcomes are told and a new epoch is taken in.
	tickPeriod = 250 * time.Millisecond
	// callTimeout bounds each call to another instance, far beyond a round trip
	// between availability zones; a caller waits for at most a few of them.
	callTimeout = 200 * time.Millisecond
)

// Keeper makes claims on idempotency keys for this instance and keeps those of others.
type Keeper struct {
	duties  Duties
	clock   galenastair.Clock
	connect func(galenastair.Peer) claimpb.Claim
	client  *http.Client
	metrics *metrics

	mu      sync.Mutex
	table   *Table
	pending map[AttemptID]*told

	syncing chan struct{}
	// synced is the last epoch whose members have all told what they keep; epochs count from 1.
	synced galenastair.Epoch
	homes  homes
	// whole is the last epoch in which no key of this home had lost its second copy.
	whole galenastair.Epoch
}

// Option changes how a keeper is built.
type Option func(*Keeper)

// WithClock sets the clock.
func WithClock(c galenastair.Clock) Option { return func(k *Keeper) { k.clock = c } }

// WithConnect sets how other instances are called, in place of HTTP.
func WithConnect(f func(galenastair.Peer) claimpb.Claim) Option {
	return func(k *Keeper) { k.connect = f }
}

// WithHTTPClient sets the client by which other instances are called.
func WithHTTPClient(c *http.Client) Option { return func(k *Keeper) { k.client = c } }

// WithMetrics registers the keeper's metrics.
func WithMetrics(r prometheus.Registerer) Option {
	return func(k *Keeper) { k.metrics = newMetrics(r) }
}

// New returns a keeper; Run must be running.
func New(d Duties, opts ...Option) *Keeper {
	k := &Keeper{
		duties:  d,
		clock:   galenastair.SystemClock{},
		client:  http.DefaultClient,
		table:   NewTable(),
		pending: make(map[AttemptID]*told),
		syncing: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(k)
	}
	if k.metrics == nil {
		k.metrics = newMetrics(prometheus.NewRegistry())
	}
	if k.connect == nil {
		k.connect = k.overHTTP
	}
	return k
}

// Run tells outcomes and restores lost copies until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		k.Tick(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			k.tellLast(ctx)
			return ctx.Err()
		}
	}
}

// tellLast makes a planned stop leave no outcome untold if it can.
func (k *Keeper) tellLast(ctx context.Context) {
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	k.tell(last)
}

// Tick does what Run does once each period.
func (k *Keeper) Tick(ctx context.Context) {
	k.tell(ctx)
	k.restore(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Expire(k.clock.Now())
	k.metrics.kept.Set(float64(k.table.Len()))
}

// present says whether the process that made an attempt is a member of the present epoch.
func (k *Keeper) present(a *Attempt) bool {
	_, ok := k.member(a.ID.Sender)
	return ok && k.incarnationOf(a.ID.Sender) == a.Incarnation
}

func (k *Keeper) incarnationOf(id galenastair.InstanceID) int64 {
	if d, ok := k.duties.(Incarnations); ok {
		return d.IncarnationOf(id)
	}
	return 0
}

func (k *Keeper) member(id galenastair.InstanceID) (galenastair.Peer, bool) {
	for _, p := range k.duties.Members() {
		if p.ID == id {
			return p, true
		}
	}
	return galenastair.Peer{}, false
}
