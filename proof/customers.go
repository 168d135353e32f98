package proof

import (
	"fmt"

	"galenastair"
)

// overOrganisation sends five times what its contract gives it.
const overOrganisation galenastair.Organisation = "Over"

// newCustomers returns five organisations, two of them large; the last sends
// five times what its contract gives it.
func newCustomers() []*customer {
	return []*customer{
		{name: "Large-1", rate: 4000, burst: 20000, models: names("model", 1, 2, 3, 4), services: []galenastair.ServiceName{"bids"}, perSecond: 20},
		{name: "Large-2", rate: 4000, burst: 20000, models: names("model", 3, 4, 5, 6), perSecond: 20},
		{name: "Small-1", rate: 800, burst: 4000, models: append(names("model", 1, 5), names("adapter", 1, 2)...), services: []galenastair.ServiceName{"bids"}, perSecond: 6},
		{name: "Small-2", rate: 800, burst: 4000, models: append(names("model", 2, 6), names("adapter", 3, 4)...), perSecond: 6},
		{name: overOrganisation, rate: 100, burst: 1000, models: names("model", 1, 2), perSecond: 12},
	}
}

func names(kind string, numbers ...int) []galenastair.ModelName {
	var out []galenastair.ModelName
	for _, n := range numbers {
		out = append(out, galenastair.ModelName(fmt.Sprintf("%s-%d", kind, n)))
	}
	return out
}

// limits returns what each organisation may have; racing operators raise the
// burst by one token at most.
func limits(customers []*customer) map[galenastair.Organisation]Limit {
	out := map[galenastair.Organisation]Limit{}
	for _, c := range customers {
		out[c.name] = Limit{c.rate, c.burst + 1}
	}
	return out
}
