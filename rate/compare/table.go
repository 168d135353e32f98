package compare

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"galenastair"
	"galenastair/rate"
)

// instances is the number of instances in the current deployment.
const instances = 9

type candidate struct {
	name  string
	build func(*environment) strategy
}

// productStrategy is the name of the strategy of package rate.
const productStrategy = "holders, loans by demand"

func candidates() []candidate {
	all := []galenastair.Organisation{singleOrganisation}
	return []candidate{
		{"equal split", func(env *environment) strategy { return newEqualSplit(env, env.contract.TotalLimits()) }},
		{"one home", func(env *environment) strategy { return newSingleOwner(env) }},
		{"holders, each request", func(env *environment) strategy {
			return newSharedHolders(env, env.contract, all, rate.WithoutPrefetch())
		}},
		{productStrategy, func(env *environment) strategy { return newSharedHolders(env, env.contract, all) }},
		{"a quarter static, rest lent", func(env *environment) strategy { return newPartlyStatic(env, 4) }},
		{"half static, rest lent", func(env *environment) strategy { return newPartlyStatic(env, 2) }},
	}
}

// newPartlyStatic splits 1/divisor of the contract equally over all instances.
func newPartlyStatic(env *environment, divisor int64) strategy {
	static := rate.Contract{
		Rate:  env.contract.Rate / galenastair.TokensPerSecond(divisor),
		Burst: env.contract.Burst / galenastair.Tokens(divisor),
	}
	lent := rate.Contract{Rate: env.contract.Rate - static.Rate, Burst: env.contract.Burst - static.Burst}
	return &partlyStatic{
		equalSplit: newEqualSplit(env, static.TotalLimits()),
		shared:     newSharedHolders(env, lent, []galenastair.Organisation{singleOrganisation}),
	}
}

// Run returns the results by scenario and strategy name.
func Run(seed uint64) map[string]map[string]Result {
	results := make(map[string]map[string]Result)
	for _, s := range scenarios() {
		results[s.name] = make(map[string]Result)
		for _, c := range candidates() {
			results[s.name][c.name] = simulate(s, seed, instances, c.build)
		}
	}
	return results
}

// Table returns the comparison as text. The same seed gives the same table.
func Table(seed uint64) string {
	var text strings.Builder
	fmt.Fprintf(&text, "rate and burst over %d instances, seed %d\n", instances, seed)
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tway\trequests\twithin rate\trefused of these\tgranted\tmessages/request\tbytes/request\twithout service\tover contract")
	results := Run(seed)
	for _, s := range scenarios() {
		for _, c := range candidates() {
			r := results[s.name][c.name]
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%.0f\t%s\t%s\n", s.name, c.name,
				r.Requests, r.WithinRate, r.Refused, r.Granted, ratio(r.Messages, r.Requests), ratio(r.Bytes, r.Requests),
				r.LongestOutage.Round(tickInterval), formatViolation(r.Violation))
		}
	}
	// writing to a strings.Builder does not fail
	_ = w.Flush()
	return text.String() + "\n" + RegionTable(seed)
}

func ratio(n, requests int) float64 { return float64(n) / float64(max(requests, 1)) }

func formatViolation(err error) string {
	if err == nil {
		return "0"
	}
	return err.Error()
}
