package node

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"galenastair"
	"galenastair/gateway"
	"galenastair/place"
)

// metrics counts how requests and orders end.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	retries  *prometheus.CounterVec
	orders   *prometheus.CounterVec
	first    *prometheus.HistogramVec
	total    *prometheus.HistogramVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_requests_total", Help: "Requests by how they ended; code is empty for an answer of a backend server.",
		}, []string{"kind", "code", "status"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_retries_total", Help: "Sends beyond the first of a request, by the cause.",
		}, []string{"cause"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_orders_total", Help: "Orders given to model engines, by kind, reason and outcome.",
		}, []string{"kind", "reason", "outcome"}),
		first: histogram("galenastair_first_seconds", "Time from a request's arrival to its answer's head or first event."),
		total: histogram("galenastair_total_seconds", "Time from a request's arrival to its end."),
	}
	m.registry.MustRegister(m.requests, m.retries, m.orders, m.first, m.total)
	return m
}

func histogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
	}, []string{"kind"})
}

// kindNames are the label values of the kinds of request.
var kindNames = [...]string{"AtMostOnce", "Idempotent", "Stream", "ResumableStream"}

// RequestEnded counts one request.
func (m *metrics) RequestEnded(e gateway.Ending) {
	kind := kindNames[e.Kind]
	m.requests.WithLabelValues(kind, string(e.Code), strconv.Itoa(e.Status)).Inc()
	if e.First > 0 {
		m.first.WithLabelValues(kind).Observe(e.First.Seconds())
	}
	m.total.WithLabelValues(kind).Observe(e.Total.Seconds())
}

// Retried counts one more send.
func (m *metrics) Retried(cause string) { m.retries.WithLabelValues(cause).Inc() }

func (m *metrics) ordered(kind galenastair.OrderKind, reason place.Reason, outcome string) {
	m.orders.WithLabelValues(string(kind), string(reason), outcome).Inc()
}
