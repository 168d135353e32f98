package operator

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenastair"
	"galenastair/place"
	"galenastair/request"
)

// Latency targets, to be met by 95 % of requests.
const (
	targetTimeToFirstToken  = 1800 * time.Millisecond
	targetInterTokenLatency = 64 * time.Millisecond
)

// Metrics holds the Prometheus metrics of finished requests and of orders.
type Metrics struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec
	attained          *prometheus.CounterVec
	tokens            *prometheus.CounterVec
	refusedWithinRate *prometheus.CounterVec
	orders            *prometheus.CounterVec
	retries           prometheus.Counter
	queueTime         prometheus.Histogram
	timeToFirstToken  prometheus.Histogram
	interTokenLatency prometheus.Histogram
}

// NewMetrics returns Metrics with a new registry, which has no Go runtime metrics.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_requests_total", Help: "Requests by how they ended; code is empty for a whole answer.",
		}, []string{"organisation", "code", "outcome"}),
		attained: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_requests_attained_total", Help: "Whole answers with the first token within 1.8 s and 64 ms between tokens.",
		}, []string{"organisation"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_tokens_total", Help: "Tokens that organisations were charged in the end.",
		}, []string{"organisation"}),
		refusedWithinRate: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_refused_within_rate_total", Help: "Requests that were refused or failed though their organisation was not over its rate.",
		}, []string{"organisation", "code"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_orders_total", Help: "Orders that engines took from this instance as the leader, by kind and reason.",
		}, []string{"kind", "reason"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenastair_retries_total", Help: "Attempts beyond the first of a request.",
		}),
		queueTime:         newHistogram("galenastair_queued_seconds", "Time from a request's arrival to its being sent."),
		timeToFirstToken:  newHistogram("galenastair_first_token_seconds", "Time from a request's arrival to its first token."),
		interTokenLatency: newHistogram("galenastair_between_token_seconds", "Mean time between the tokens of an answer."),
	}
	m.registry.MustRegister(m.requests, m.attained, m.tokens, m.refusedWithinRate, m.orders, m.retries, m.queueTime, m.timeToFirstToken, m.interTokenLatency)
	return m
}

func newHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
	})
}

// Registry returns the registry, so that other packages can register their metrics.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// OrderAccepted counts an order that an engine accepted.
func (m *Metrics) OrderAccepted(kind galenastair.OrderKind, reason place.Reason) {
	m.orders.WithLabelValues(string(kind), string(reason)).Inc()
}

// isSystemFailure reports whether a request failed because of this system, and not
// because of the caller's key, contract, rate or the form of the request.
func isSystemFailure(c galenastair.Code) bool {
	switch c {
	case "RateUnavailable", "Overloaded", "NoBackendServer", "NotMember", "Stopping", "ClaimUnavailable",
		"BackendServer", "AnswerCut", "Timeout", "NoConfiguration":
		return true
	}
	return false
}

// RequestEnded implements request.Recorder.
func (m *Metrics) RequestEnded(e request.Summary) {
	organisation := string(e.Organisation)
	m.requests.WithLabelValues(organisation, string(e.Code), string(e.Outcome)).Inc()
	if isSystemFailure(e.Code) {
		m.refusedWithinRate.WithLabelValues(organisation, string(e.Code)).Inc()
	}
	m.tokens.WithLabelValues(organisation).Add(float64(e.Used))
	if e.Attempts > 1 {
		m.retries.Add(float64(e.Attempts - 1))
	}
	if e.TimeToFirstToken == 0 {
		return
	}
	m.queueTime.Observe(e.QueueTime.Seconds())
	m.timeToFirstToken.Observe(e.TimeToFirstToken.Seconds())
	m.interTokenLatency.Observe(e.InterTokenLatency.Seconds())
	if e.Code == "" && e.TimeToFirstToken <= targetTimeToFirstToken && e.InterTokenLatency <= targetInterTokenLatency {
		m.attained.WithLabelValues(organisation).Inc()
	}
}
