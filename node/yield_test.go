package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/admission"
	"galenastair/settings"
)

// Requests may yield only where the settings say so. Fails if the controller exists although the setting
// is off, or is missing although it is on, or only logs.
func TestYieldFollowsTheSetting(t *testing.T) {
	is := is.New(t)
	for mode, enabled := range map[settings.Mode]bool{"": false, settings.ModeOff: false, settings.ModeOn: true, settings.ModeLog: true} {
		n := New(settings.Gateway{Load: settings.LoadHandling{YieldToUrgent: mode}})
		is.Equal(n.admission != nil, enabled)
		is.Equal(n.yielding(), 0)
	}
}

// Loads of the other instances that are no longer renewed must not be taken for current. Fails if they
// count before the first update or long after the last one.
func TestLoadsCurrent(t *testing.T) {
	is := is.New(t)
	c := &leaderClient{}
	is.True(!c.loadsCurrent())
	at := time.Now()
	c.loadsAt.Store(&at)
	is.True(c.loadsCurrent())
	at = time.Now().Add(-2 * maxLoadsAge)
	c.loadsAt.Store(&at)
	is.True(!c.loadsCurrent())
}

// Operators see by the metric whether requests are refused for more urgent ones. Fails if sent and
// refused requests are not told apart.
func TestYieldsAreCounted(t *testing.T) {
	is := is.New(t)
	m := newMetrics()
	m.Yielded(admission.Decision{Action: admission.Send}, time.Second)
	m.Yielded(admission.Decision{Action: admission.Refuse}, 0)
	m.Yielded(admission.Decision{Action: admission.Refuse}, 0)
	families, err := m.registry.Gather()
	is.NoErr(err)
	counts := map[string]float64{}
	for _, f := range families {
		if f.GetName() == "galenastair_yields_total" {
			for _, line := range f.GetMetric() {
				counts[line.GetLabel()[0].GetValue()] = line.GetCounter().GetValue()
			}
		}
	}
	is.Equal(counts, map[string]float64{"Sent": 1, "Refused": 2})
}
