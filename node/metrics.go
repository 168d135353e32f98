package node

import (
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"galenastair"
	"galenastair/gateway"
	"galenastair/place"
	"galenastair/platform"
)

// metrics counts how requests and orders end.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	// organisations counts the same by organisation.
	organisations *prometheus.CounterVec
	named         map[galenastair.Organisation]bool
	mu            sync.Mutex
	retries       *prometheus.CounterVec
	orders        *prometheus.CounterVec
	turns         *prometheus.CounterVec
	first         *prometheus.HistogramVec
	total         *prometheus.HistogramVec
	stored        *prometheus.CounterVec
	storeTook     *prometheus.HistogramVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_requests_total", Help: "Requests by how they ended; code is empty for an answer of a backend server.",
		}, []string{"kind", "code", "status"}),
		organisations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_organisation_requests_total", Help: "Requests by organisation and how they ended; further organisations count as other.",
		}, []string{"organisation", "code"}),
		named: map[galenastair.Organisation]bool{},
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_retries_total", Help: "Sends beyond the first of a request, by the cause.",
		}, []string{"cause"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_orders_total", Help: "Orders given to model engines, by kind, reason and outcome.",
		}, []string{"kind", "reason", "outcome"}),
		turns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_limit_turns_total", Help: "Requests for backend servers that have named a limit, by who answered and whether there was a turn.",
		}, []string{"by", "outcome"}),
		first: histogram("galenastair_first_seconds", "Time from a request's arrival to its answer's head or first event."),
		total: histogram("galenastair_total_seconds", "Time from a request's arrival to its end."),
		stored: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_store_calls_total", Help: "Calls to the platform's store, by call, topic and outcome.",
		}, []string{"call", "topic", "outcome"}),
		storeTook: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "galenastair_store_seconds", Help: "Time that a call to the platform's store took; reads wait for records.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}, []string{"call"}),
	}
	m.registry.MustRegister(m.requests, m.organisations, m.retries, m.orders, m.turns, m.first, m.total, m.stored, m.storeTook)
	return m
}

func histogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
	}, []string{"kind"})
}

// kindNames are the label values of the kinds of request.
var kindNames = [...]string{"AtMostOnce", "Idempotent", "Stream", "ResumableStream"}

// turn counts an answer to a request for a backend server with a limit.
func (m *metrics) turn(by string, granted bool) {
	outcome := "Deferred"
	if granted {
		outcome = "Granted"
	}
	m.turns.WithLabelValues(by, outcome).Inc()
}

// RequestEnded counts one request.
func (m *metrics) RequestEnded(e gateway.Ending) {
	kind := kindNames[e.Kind]
	m.requests.WithLabelValues(kind, string(e.Code), strconv.Itoa(e.Status)).Inc()
	if e.Organisation != "" {
		m.organisations.WithLabelValues(m.label(e.Organisation), string(e.Code)).Inc()
	}
	if e.First > 0 {
		m.first.WithLabelValues(kind).Observe(e.First.Seconds())
	}
	m.total.WithLabelValues(kind).Observe(e.Total.Seconds())
}

// namedOrganisations bounds the label's values: the first that come have one of their
// own, so that a platform with thousands of organisations costs no memory here.
const namedOrganisations = 32

// otherOrganisations is the label of the rest.
const otherOrganisations = "other"

func (m *metrics) label(o galenastair.Organisation) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.named[o] && len(m.named) >= namedOrganisations {
		return otherOrganisations
	}
	m.named[o] = true
	return string(o)
}

func (m *metrics) storeCalled(c platform.StoreCall) {
	m.stored.WithLabelValues(c.Call, string(c.Topic), storeOutcome(c.Err)).Inc()
	m.storeTook.WithLabelValues(c.Call).Observe(c.Took.Seconds())
}

// Retried counts one more send.
func (m *metrics) Retried(cause string) { m.retries.WithLabelValues(cause).Inc() }

func (m *metrics) ordered(kind galenastair.OrderKind, reason place.Reason, outcome string) {
	m.orders.WithLabelValues(string(kind), string(reason), outcome).Inc()
}

// droppedLines shows how many log lines were left out.
func (m *metrics) droppedLines(f func() int64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "galenastair_log_lines_left_out_total", Help: "Log lines that a full queue or the budget cost.",
	}, func() float64 { return float64(f()) }))
}

// watch shows what this instance knows and holds.
func (m *metrics) watch(n *Node) {
	gauge := func(name, help string, f func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
	}
	gauge("galenastair_view_age_seconds", "Age of the store's word on the configuration; -1 before the first.", func() float64 {
		view, age := n.views.View()
		if view == nil {
			return -1
		}
		return age.Seconds()
	})
	gauge("galenastair_view_version", "Version of the configuration in force.", func() float64 {
		view, _ := n.views.View()
		if view == nil {
			return 0
		}
		return float64(view.Version)
	})
	gauge("galenastair_backend_servers", "Backend servers that are known.", func() float64 { return float64(n.pool.Len()) })
	gauge("galenastair_fleet", "Instances that the quotas are dealt to.", func() float64 { return float64(n.share.Fleet()) })
	gauge("galenastair_plans", "1 while this instance plans.", func() float64 {
		if n.lease.Holds() {
			return 1
		}
		return 0
	})
	gauge("galenastair_alone", "1 while no lender answers.", func() float64 {
		if n.share.Alone() {
			return 1
		}
		return 0
	})
}
