package node

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenastair"
	"galenastair/admission"
	"galenastair/gateway"
	"galenastair/place"
	"galenastair/platform"
)

// metrics are the Prometheus metrics of an instance.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	// organisations counts requests by organisation and outcome.
	organisations         *prometheus.CounterVec
	labelledOrganisations map[galenastair.Organisation]bool
	mu                    sync.Mutex
	retries               *prometheus.CounterVec
	orders                *prometheus.CounterVec
	limitDecisions        *prometheus.CounterVec
	yields                *prometheus.CounterVec
	yieldDuration         prometheus.Histogram
	permits               *prometheus.CounterVec
	recordWaits           *prometheus.HistogramVec
	timeToFirstByte       *prometheus.HistogramVec
	duration              *prometheus.HistogramVec
	storeCalls            *prometheus.CounterVec
	storeDuration         *prometheus.HistogramVec
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
		labelledOrganisations: map[galenastair.Organisation]bool{},
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_retries_total", Help: "Sends beyond the first of a request, by the cause.",
		}, []string{"cause"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_orders_total", Help: "Orders given to model engines, by kind, reason and outcome.",
		}, []string{"kind", "reason", "outcome"}),
		limitDecisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_limit_turns_total", Help: "Requests for backend servers that have named a limit, by who answered and whether there was a turn.",
		}, []string{"by", "outcome"}),
		yields: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_yields_total", Help: "Less urgent requests that waited for more urgent ones, or were refused for them, by how the wait ended.",
		}, []string{"outcome"}),
		yieldDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "galenastair_yield_seconds", Help: "Time that less urgent requests waited for more urgent ones.", Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
		}),
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_permits_total", Help: "Requests for brittle backend servers, by who decided on their permits and how.",
		}, []string{"by", "outcome"}),
		recordWaits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "galenastair_stream_record_seconds", Help: "Time that first events of streams waited until another instance knew where the stream began.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 9),
		}, []string{"outcome"}),
		timeToFirstByte: histogram("galenastair_first_seconds", "Time from a request's arrival to its answer's head or first event."),
		duration:        histogram("galenastair_total_seconds", "Time from a request's arrival to its end."),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_store_calls_total", Help: "Calls to the platform's store, by call, topic and outcome.",
		}, []string{"call", "topic", "outcome"}),
		storeDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "galenastair_store_seconds", Help: "Time that a call to the platform's store took; reads wait for records.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}, []string{"call"}),
	}
	m.registry.MustRegister(m.requests, m.organisations, m.retries, m.orders, m.limitDecisions, m.yields, m.yieldDuration, m.permits, m.recordWaits, m.timeToFirstByte, m.duration, m.storeCalls, m.storeDuration)
	return m
}

func histogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
	}, []string{"kind"})
}

// kindNames are the label values of the request kinds.
var kindNames = [...]string{"AtMostOnce", "Idempotent", "Stream", "ResumableStream"}

// countLimitDecision counts a decision on a request to a backend server with a rate limit.
func (m *metrics) countLimitDecision(by string, granted bool) {
	outcome := "Deferred"
	if granted {
		outcome = "Granted"
	}
	m.limitDecisions.WithLabelValues(by, outcome).Inc()
}

// countPermit counts a decision on a request to a brittle backend server.
func (m *metrics) countPermit(by string, granted bool) {
	outcome := "Denied"
	if granted {
		outcome = "Granted"
	}
	m.permits.WithLabelValues(by, outcome).Inc()
}

// observeRecordWait records how long the first event of a stream waited for its record.
func (m *metrics) observeRecordWait(d time.Duration, known bool) {
	outcome := "TimedOut"
	if known {
		outcome = "Recorded"
	}
	m.recordWaits.WithLabelValues(outcome).Observe(d.Seconds())
}

// RequestEnded records one finished request.
func (m *metrics) RequestEnded(e gateway.RequestSummary) {
	kind := kindNames[e.Kind]
	m.requests.WithLabelValues(kind, string(e.Code), strconv.Itoa(e.Status)).Inc()
	if e.Organisation != "" {
		m.organisations.WithLabelValues(m.organisationLabel(e.Organisation), string(e.Code)).Inc()
	}
	if e.TimeToFirstByte > 0 {
		m.timeToFirstByte.WithLabelValues(kind).Observe(e.TimeToFirstByte.Seconds())
	}
	m.duration.WithLabelValues(kind).Observe(e.Duration.Seconds())
}

// maxOrganisationLabels bounds the values of the organisation label. Only the first organisations
// get a value of their own, so that thousands of organisations do not fill the memory.
const maxOrganisationLabels = 32

// otherOrganisationsLabel is the label value of all other organisations.
const otherOrganisationsLabel = "other"

func (m *metrics) organisationLabel(o galenastair.Organisation) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.labelledOrganisations[o] && len(m.labelledOrganisations) >= maxOrganisationLabels {
		return otherOrganisationsLabel
	}
	m.labelledOrganisations[o] = true
	return string(o)
}

func (m *metrics) observeStoreCall(c platform.StoreCall) {
	m.storeCalls.WithLabelValues(c.Call, string(c.Topic), storeOutcome(c.Err)).Inc()
	m.storeDuration.WithLabelValues(c.Call).Observe(c.Duration.Seconds())
}

// Retried counts one retry.
func (m *metrics) Retried(cause string) { m.retries.WithLabelValues(cause).Inc() }

// Yielded records the end of a less urgent request's wait for more urgent ones.
func (m *metrics) Yielded(d admission.Decision, waited time.Duration) {
	outcome := "Sent"
	if d.Action == admission.Refuse {
		outcome = "Refused"
	}
	m.yields.WithLabelValues(outcome).Inc()
	if waited > 0 {
		m.yieldDuration.Observe(waited.Seconds())
	}
}

func (m *metrics) countOrder(kind galenastair.OrderKind, reason place.Reason, outcome string) {
	m.orders.WithLabelValues(string(kind), string(reason), outcome).Inc()
}

// registerDroppedLines registers a counter of dropped log lines.
func (m *metrics) registerDroppedLines(f func() int64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "galenastair_log_lines_left_out_total", Help: "Log lines that a full queue or the budget cost.",
	}, func() float64 { return float64(f()) }))
}

// registerGauges registers the gauges of the instance's state.
func (m *metrics) registerGauges(n *Node) {
	if n.budget != nil {
		m.registry.MustRegister(heldCollector{n.budget})
	}
	gauge := func(name, help string, f func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
	}
	gauge("galenastair_view_age_seconds", "Age of the store's word on the configuration; -1 before the first.", func() float64 {
		current, age := n.catalogSource.Current()
		if current == nil {
			return -1
		}
		return age.Seconds()
	})
	gauge("galenastair_view_version", "Version of the configuration in force.", func() float64 {
		current, _ := n.catalogSource.Current()
		if current == nil {
			return 0
		}
		return float64(current.Version)
	})
	gauge("galenastair_backend_servers", "Backend servers that are known.", func() float64 { return float64(n.pool.Len()) })
	gauge("galenastair_uneven_backend_servers", "Backend servers whose speed factor is not 1.", func() float64 { return float64(n.pool.UnevenServers()) })
	gauge("galenastair_evacuated_zones", "Availability zones whose backend servers get no new requests.", func() float64 { return float64(len(n.catalogSource.evacuations.zones())) })
	gauge("galenastair_partitioned_services", "Services from all of whose backend servers this instance is partitioned.", func() float64 { return float64(len(n.partition.From())) })
	gauge("galenastair_streams_recorded", "Streams whose software version this instance keeps.", func() float64 { return float64(n.streams.table.Len()) })
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "galenastair_connections_closed_unread_total", Help: "New connections that were closed for lack of processor time.",
	}, func() float64 { return float64(n.overload.Closed()) }))
	gauge("galenastair_yielding", "Less urgent requests that wait for more urgent ones.", func() float64 { return float64(n.yielding()) })
	gauge("galenastair_fleet", "Instances that the quotas are dealt to.", func() float64 { return float64(n.borrower.FleetSize()) })
	gauge("galenastair_plans", "1 while this instance plans.", func() float64 {
		if n.lease.Holds() {
			return 1
		}
		return 0
	})
	gauge("galenastair_alone", "1 while no lender answers.", func() float64 {
		if n.borrower.InFallback() {
			return 1
		}
		return 0
	})
}
