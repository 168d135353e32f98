package compare

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"galenastair"
	"galenastair/rate"
)

// instances is today's size.
const instances = 9

type candidate struct {
	name  string
	build func(*site) way
}

// ours is the name of the way that the product uses.
const ours = "holders, loans by demand"

func candidates() []candidate {
	all := []galenastair.Organisation{single}
	return []candidate{
		{"equal split", func(s *site) way { return newEqualSplit(s, s.contract.Whole()) }},
		{"one home", func(s *site) way { return newOneHome(s) }},
		{"holders, each request", func(s *site) way {
			return newHolders(s, s.contract, all, rate.WithoutAdvances())
		}},
		{ours, func(s *site) way { return newHolders(s, s.contract, all) }},
		{"a quarter static, rest lent", func(s *site) way { return newPartStatic(s, 4) }},
		{"half static, rest lent", func(s *site) way { return newPartStatic(s, 2) }},
	}
}

// newPartStatic splits one part in divisor equally over all instances.
func newPartStatic(s *site, divisor int64) way {
	static := rate.Contract{
		Rate:  s.contract.Rate / galenastair.TokensPerSecond(divisor),
		Burst: s.contract.Burst / galenastair.Tokens(divisor),
	}
	lent := rate.Contract{Rate: s.contract.Rate - static.Rate, Burst: s.contract.Burst - static.Burst}
	return &partStatic{
		equalSplit: newEqualSplit(s, static.Whole()),
		rest:       newHolders(s, lent, []galenastair.Organisation{single}),
	}
}

// Run returns the results of every way in every scenario, by their names.
func Run(seed uint64) map[string]map[string]Result {
	results := make(map[string]map[string]Result)
	for _, s := range scenarios() {
		results[s.name] = make(map[string]Result)
		for _, c := range candidates() {
			results[s.name][c.name] = run(s, seed, instances, c.build)
		}
	}
	return results
}

// Table prints the comparison; the same seed gives the same table.
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
				r.Requests, r.WithinRate, r.Refused, r.Granted, per(r.Messages, r.Requests), per(r.Bytes, r.Requests),
				r.Without.Round(tickPeriod), over(r.Over))
		}
	}
	// a strings.Builder takes everything
	_ = w.Flush()
	return text.String() + "\n" + RegionTable(seed)
}

func per(n, requests int) float64 { return float64(n) / float64(max(requests, 1)) }

func over(err error) string {
	if err == nil {
		return "0"
	}
	return err.Error()
}
