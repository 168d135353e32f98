package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"galenastair"
)

// Quantiles sums up one histogram.
type Quantiles struct {
	Count                         int64
	P50, P90, P95, P99, P999, Max time.Duration
}

// OutcomeCount says how often requests ended one way.
type OutcomeCount struct {
	Code    galenastair.Code
	Outcome galenastair.Outcome
	Count   int
}

// OrganisationResult tells how one organisation fared.
type OrganisationResult struct {
	Organisation  galenastair.Organisation
	Requests      int
	Outcomes      []OutcomeCount
	FirstToken    Quantiles
	BetweenTokens Quantiles
	Total         Quantiles
}

// Whole returns how many requests got their whole answer.
func (r OrganisationResult) Whole() int { return r.Count(codeWhole) }

// Count returns how many requests ended with a code.
func (r OrganisationResult) Count(code galenastair.Code) int {
	n := 0
	for _, o := range r.Outcomes {
		if o.Code == code {
			n += o.Count
		}
	}
	return n
}

// Result tells how a run went; All sums up the organisations.
type Result struct {
	Seed    uint64
	Elapsed time.Duration
	// WholePerSecond is the rate of requests that got their whole answer.
	WholePerSecond float64
	All            OrganisationResult
	Organisations  []OrganisationResult
}

// WriteText writes the result as a table, a line each for the organisations and for all.
func (r Result) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "organisation\trequests\twhole\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99\ttotal p99\tmax")
	for _, o := range append(r.Organisations[:len(r.Organisations):len(r.Organisations)], r.All) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\n",
			o.Organisation, o.Requests, o.Whole(),
			short(o.FirstToken.P50), short(o.FirstToken.P95), short(o.FirstToken.P99),
			short(o.BetweenTokens.P50), short(o.BetweenTokens.P95), short(o.BetweenTokens.P99),
			short(o.Total.P99), short(o.Total.Max))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, o := range r.All.Outcomes {
		if _, err := fmt.Fprintf(w, "outcome %s %s: %d\n", o.Code, o.Outcome, o.Count); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "seed %d: %.0f whole answers/s over %v\n", r.Seed, r.WholePerSecond, r.Elapsed.Round(time.Millisecond))
	return err
}

func short(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
