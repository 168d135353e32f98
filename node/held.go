package node

import (
	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"galenastair/membudget"
)

// heldLogger logs the state of the memory budget after something did not fit.
type heldLogger struct{ refused, ended int64 }

func (h *heldLogger) log(logger log.Logger, s membudget.State) {
	var refused int64
	for _, n := range s.Refused {
		refused += n
	}
	if refused == h.refused && s.Ended == h.ended {
		return
	}
	logger.Log("event", "held memory", "held", int64(s.Held), "limit", int64(s.Limit), "exchanges", s.Exchanges,
		"bodies", int64(s.BySide[membudget.Bodies.String()]), "refused", refused-h.refused, "ended", s.Ended-h.ended)
	h.refused, h.ended = refused, s.Ended
}

var (
	heldBytesDesc   = prometheus.NewDesc("galenastair_held_bytes", "Bytes that are held for requests, by what they are held for.", []string{"side"}, nil)
	heldLimitDesc   = prometheus.NewDesc("galenastair_held_limit_bytes", "Bytes that may be held for requests.", nil, nil)
	heldRefusedDesc = prometheus.NewDesc("galenastair_held_refused_total", "How often something did not fit into the memory for requests, by what it was.", []string{"side"}, nil)
	heldEndedDesc   = prometheus.NewDesc("galenastair_held_ended_total", "Requests that were ended for memory, as their callers took or sent nothing.", nil, nil)
)

// heldCollector exports the state of the memory budget.
type heldCollector struct{ budget *membudget.Budget }

// Describe implements prometheus.Collector.
func (c heldCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{heldBytesDesc, heldLimitDesc, heldRefusedDesc, heldEndedDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c heldCollector) Collect(out chan<- prometheus.Metric) {
	s := c.budget.State()
	out <- prometheus.MustNewConstMetric(heldLimitDesc, prometheus.GaugeValue, float64(s.Limit))
	out <- prometheus.MustNewConstMetric(heldEndedDesc, prometheus.CounterValue, float64(s.Ended))
	for _, side := range membudget.Sides {
		name := side.String()
		out <- prometheus.MustNewConstMetric(heldBytesDesc, prometheus.GaugeValue, float64(s.BySide[name]), name)
		out <- prometheus.MustNewConstMetric(heldRefusedDesc, prometheus.CounterValue, float64(s.Refused[name]), name)
	}
}
