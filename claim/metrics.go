package claim

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"galenastair"
)

type metrics struct {
	claims   *prometheus.CounterVec
	messages prometheus.Counter
	attempts prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_claims_total",
			Help: "Claims on idempotency keys by result: Granted, or the code of the refusal.",
		}, []string{"Result"}),
		messages: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenastair_claim_messages_total",
			Help: "Messages sent to other instances about claims.",
		}),
		attempts: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "galenastair_claims_kept",
			Help: "Attempts that this instance keeps.",
		}),
	}
	r.MustRegister(m.claims, m.messages, m.attempts)
	return m
}

func (m *metrics) countClaim(err error) {
	result := "Granted"
	var refusal *galenastair.Refusal
	if errors.As(err, &refusal) {
		result = string(refusal.Code())
	}
	m.claims.WithLabelValues(result).Inc()
}
