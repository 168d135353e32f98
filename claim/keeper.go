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
	// tickPeriod bounds the delay until outcomes are sent and a new epoch is noticed.
	tickPeriod = 250 * time.Millisecond
	// callTimeout bounds each call to another instance. It is far above the round-trip time
	// between availability zones. A request waits for a few such calls at most.
	callTimeout = 200 * time.Millisecond
)

// Manager claims idempotency keys for this instance and stores the claims of other instances.
type Manager struct {
	assignment Assignment
	clock      galenastair.Clock
	peerClient func(galenastair.Peer) claimpb.Claim
	httpClient *http.Client
	metrics    *metrics

	mu      sync.Mutex
	table   *Table
	pending map[AttemptID]*pendingOutcome

	syncSemaphore chan struct{}
	// syncedEpoch is the last epoch whose members have all reported their attempts. Epochs start at 1.
	syncedEpoch galenastair.Epoch
	owners      ownerCache
	// restoredEpoch is the last epoch in which every key owned by this instance had its second copy.
	restoredEpoch galenastair.Epoch
}

// Option configures a Manager.
type Option func(*Manager)

// WithClock sets the clock.
func WithClock(c galenastair.Clock) Option { return func(m *Manager) { m.clock = c } }

// WithPeerClient sets the function that returns a client for another instance. The default uses HTTP.
func WithPeerClient(f func(galenastair.Peer) claimpb.Claim) Option {
	return func(m *Manager) { m.peerClient = f }
}

// WithHTTPClient sets the HTTP client for calls to other instances.
func WithHTTPClient(c *http.Client) Option { return func(m *Manager) { m.httpClient = c } }

// WithMetrics registers the manager's metrics.
func WithMetrics(r prometheus.Registerer) Option {
	return func(m *Manager) { m.metrics = newMetrics(r) }
}

// New returns a Manager. Its Run method must be running while it is used.
func New(d Assignment, opts ...Option) *Manager {
	m := &Manager{
		assignment:    d,
		clock:         galenastair.SystemClock{},
		httpClient:    http.DefaultClient,
		table:         NewTable(),
		pending:       make(map[AttemptID]*pendingOutcome),
		syncSemaphore: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(m)
	}
	if m.metrics == nil {
		m.metrics = newMetrics(prometheus.NewRegistry())
	}
	if m.peerClient == nil {
		m.peerClient = m.httpPeerClient
	}
	return m
}

// Run sends outcomes and replaces lost copies until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		m.Tick(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			m.flushOutcomes(ctx)
			return ctx.Err()
		}
	}
}

// flushOutcomes tries to send the outcomes that are pending when the instance shuts down.
func (m *Manager) flushOutcomes(ctx context.Context) {
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	m.sendOutcomes(last)
}

// Tick runs one period of Run.
func (m *Manager) Tick(ctx context.Context) {
	m.sendOutcomes(ctx)
	m.restoreCopies(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Expire(m.clock.Now())
	m.metrics.attempts.Set(float64(m.table.Len()))
}

// isSenderMember reports whether the process that made an attempt is a member of the current epoch.
func (m *Manager) isSenderMember(a *Attempt) bool {
	_, ok := m.member(a.ID.Sender)
	return ok && m.incarnationOf(a.ID.Sender) == a.Incarnation
}

func (m *Manager) incarnationOf(id galenastair.InstanceID) int64 {
	if d, ok := m.assignment.(Incarnations); ok {
		return d.IncarnationOf(id)
	}
	return 0
}

func (m *Manager) member(id galenastair.InstanceID) (galenastair.Peer, bool) {
	for _, p := range m.assignment.Members() {
		if p.ID == id {
			return p, true
		}
	}
	return galenastair.Peer{}, false
}
