package node

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/gateway"
)

// A platform has thousands of organisations. A label value for each of them would fill the memory
// of an instance, and the metrics page, which is scraped every few seconds.
func TestOrganisationLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	m := newMetrics()
	for i := range 10 * maxOrganisationLabels {
		m.RequestEnded(gateway.RequestSummary{Organisation: galenastair.Organisation(fmt.Sprint("org-", i))})
	}
	families, err := m.registry.Gather()
	is.NoErr(err)
	counts := map[string]float64{}
	for _, f := range families {
		if f.GetName() != "galenastair_organisation_requests_total" {
			continue
		}
		for _, line := range f.GetMetric() {
			for _, label := range line.GetLabel() {
				if label.GetName() == "organisation" {
					counts[label.GetValue()] = line.GetCounter().GetValue()
				}
			}
		}
	}
	is.Equal(len(counts), maxOrganisationLabels+1)
	is.Equal(counts[otherOrganisationsLabel], 9.0*maxOrganisationLabels)
}
