package rate

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"galenastair"
)

type metrics struct {
	charges        *prometheus.CounterVec
	messages       prometheus.Counter
	underestimated prometheus.Counter
	handoversLost  prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		charges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenastair_rate_charges_total",
			Help: "Charges by result: Granted, or the code of the refusal.",
		}, []string{"Result"}),
		messages: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenastair_rate_messages_total",
			Help: "Messages sent to holders of organisations' rates.",
		}),
		underestimated: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenastair_rate_underestimated_tokens_total",
			Help: "Tokens that requests used beyond their charge.",
		}),
		handoversLost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galenastair_rate_handovers_lost_total",
			Help: "Shares that moved to an instance which could not be told what is left of them.",
		}),
	}
	r.MustRegister(m.charges, m.messages, m.underestimated, m.handoversLost)
	return m
}

func (m *metrics) charged(err error) {
	result := "Granted"
	var refusal *galenastair.Refusal
	if errors.As(err, &refusal) {
		result = string(refusal.Code())
	}
	m.charges.WithLabelValues(result).Inc()
}
