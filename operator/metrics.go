package operator

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenastair"
	"galenastair/place"
	"galenastair/request"
)

// the latency that users aim at for 95 of 100 requests.
const (
	aimFirstToken   = 1800 * time.Millisecond
	aimBetweenToken = 64 * time.Millisecond
)

// Metrics counts how requests end.
type Metrics struct {
	registry     *prometheus.Registry
	requests     *prometheus.CounterVec
	attained     *prometheus.CounterVec
	tokens       *prometheus.CounterVec
	refused      *prometheus.CounterVec
	orders       *prometheus.CounterVec
	retries      prometheus.Counter
	queued       prometheus.Histogram
	firstToken   prometheus.Histogram
	betweenToken prometheus.Histogram
}

// NewMetrics returns metrics in a registry of their own.
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
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_refused_within_rate_total", Help: "Requests that were refused or failed though their organisation was not over its rate.",
		}, []string{"organisation", "code"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_orders_total", Help: "Orders that engines took from this instance as the leader, by kind and reason.",
		}, []string{"kind", "reason"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenastair_retries_total", Help: "Attempts beyond the first of a request.",
		}),
		queued:       histogram("galenastair_queued_seconds", "Time from a request's arrival to its being sent."),
		firstToken:   histogram("galenastair_first_token_seconds", "Time from a request's arrival to its first token."),
		betweenToken: histogram("galenastair_between_token_seconds", "Mean time between the tokens of an answer."),
	}
	m.registry.MustRegister(m.requests, m.attained, m.tokens, m.refused, m.orders, m.retries, m.queued, m.firstToken, m.betweenToken)
	return m
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
	})
}

// Registry returns the registry, for others to add their metrics to.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Ordered counts one order that an engine took.
func (m *Metrics) Ordered(kind galenastair.OrderKind, reason place.Reason) {
	m.orders.WithLabelValues(string(kind), string(reason)).Inc()
}

// withinRate says that a request was not served for a cause of ours, and not for
// its caller's key, contract, form or rate.
func withinRate(c galenastair.Code) bool {
	switch c {
	case "RateUnavailable", "Overloaded", "NoBackendServer", "NotMember", "Stopping", "ClaimUnavailable",
		"BackendServer", "AnswerCut", "Timeout", "NoConfiguration":
		return true
	}
	return false
}

// RequestEnded counts one request.
func (m *Metrics) RequestEnded(e request.Summary) {
	organisation := string(e.Organisation)
	m.requests.WithLabelValues(organisation, string(e.Code), string(e.Outcome)).Inc()
	if withinRate(e.Code) {
		m.refused.WithLabelValues(organisation, string(e.Code)).Inc()
	}
	m.tokens.WithLabelValues(organisation).Add(float64(e.Used))
	if e.Attempts > 1 {
		m.retries.Add(float64(e.Attempts - 1))
	}
	if e.TimeToFirstToken == 0 {
		return
	}
	m.queued.Observe(e.QueueTime.Seconds())
	m.firstToken.Observe(e.TimeToFirstToken.Seconds())
	m.betweenToken.Observe(e.InterTokenLatency.Seconds())
	if e.Code == "" && e.TimeToFirstToken <= aimFirstToken && e.InterTokenLatency <= aimBetweenToken {
		m.attained.WithLabelValues(organisation).Inc()
	}
}
