package member

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	epoch      prometheus.Gauge
	members    prometheus.Gauge
	lease      prometheus.Gauge
	leads      prometheus.Gauge
	heartbeats *prometheus.CounterVec
	appends    *prometheus.CounterVec
	mismatches prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "galenastair", Subsystem: "member", Name: name, Help: help})
	}
	counter := func(name, help, label string) *prometheus.CounterVec {
		opts := prometheus.CounterOpts{Namespace: "galenastair", Subsystem: "member", Name: name, Help: help}
		return prometheus.NewCounterVec(opts, []string{label})
	}
	m := &metrics{
		epoch:      gauge("epoch", "Epoch of the ring that this instance has folded."),
		members:    gauge("members", "Members of the ring."),
		lease:      gauge("lease_seconds", "How long the lease still runs; 0 without one."),
		leads:      gauge("leads", "1 while this instance may act as leader."),
		heartbeats: counter("heartbeats_total", "Heartbeats sent, by answer.", "answer"),
		appends:    counter("appends_total", "Records appended, by kind.", "kind"),
		mismatches: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "galenastair", Subsystem: "member", Name: "snapshot_mismatches_total",
			Help: "Snapshots that differ from this instance's own fold.",
		}),
	}
	reg.MustRegister(m.epoch, m.members, m.lease, m.leads, m.heartbeats, m.appends, m.mismatches)
	return m
}

func (m *metrics) update(s *Status, now time.Time) {
	m.epoch.Set(float64(s.View.Epoch))
	m.members.Set(float64(len(s.View.Ring)))
	m.lease.Set(max(0, s.LeaseEnds().Sub(now).Seconds()))
	m.leads.Set(0)
	if s.Leads(now) {
		m.leads.Set(1)
	}
}
