package proof

import (
	"fmt"

	"galenastair"
)

// overLimitOrganisation sends five times the rate that its contract allows.
const overLimitOrganisation galenastair.Organisation = "Over"

// newCustomers returns five organisations: two large ones, two small ones and
// overLimitOrganisation.
func newCustomers() []*customer {
	return []*customer{
		{name: "Large-1", rate: 4000, burst: 20000, models: modelNames("model", 1, 2, 3, 4), services: []galenastair.ServiceName{"bids"}, requestsPerSecond: 20},
		{name: "Large-2", rate: 4000, burst: 20000, models: modelNames("model", 3, 4, 5, 6), requestsPerSecond: 20},
		{name: "Small-1", rate: 800, burst: 4000, models: append(modelNames("model", 1, 5), modelNames("adapter", 1, 2)...), services: []galenastair.ServiceName{"bids"}, requestsPerSecond: 6},
		{name: "Small-2", rate: 800, burst: 4000, models: append(modelNames("model", 2, 6), modelNames("adapter", 3, 4)...), requestsPerSecond: 6},
		{name: overLimitOrganisation, rate: 100, burst: 1000, models: modelNames("model", 1, 2), requestsPerSecond: 12},
	}
}

func modelNames(kind string, numbers ...int) []galenastair.ModelName {
	var out []galenastair.ModelName
	for _, n := range numbers {
		out = append(out, galenastair.ModelName(fmt.Sprintf("%s-%d", kind, n)))
	}
	return out
}

// contractLimits returns the rate limit of each organisation. One token is added to
// the burst, as the fault RacingOperators publishes contracts with that burst.
func contractLimits(customers []*customer) map[galenastair.Organisation]Limit {
	out := map[galenastair.Organisation]Limit{}
	for _, c := range customers {
		out[c.name] = Limit{c.rate, c.burst + 1}
	}
	return out
}
