package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"galenastair"
)

// Quantiles summarises one histogram.
type Quantiles struct {
	Count                         int64
	P50, P90, P95, P99, P999, Max time.Duration
}

// OutcomeCount is the number of requests that ended with a code and an outcome.
type OutcomeCount struct {
	Code    galenastair.Code
	Outcome galenastair.Outcome
	Count   int
}

// OrganisationResult is the result of the requests of one organisation. The latencies
// are those of requests that got a complete response.
type OrganisationResult struct {
	Organisation galenastair.Organisation
	Requests     int
	Outcomes     []OutcomeCount
	// FirstToken is the time to first token, BetweenTokens the inter-token latency.
	FirstToken    Quantiles
	BetweenTokens Quantiles
	Total         Quantiles
}

// Completed returns the number of requests that got a complete response.
func (r OrganisationResult) Completed() int { return r.Count(codeComplete) }

// Count returns the number of requests that ended with the given code.
func (r OrganisationResult) Count(code galenastair.Code) int {
	n := 0
	for _, o := range r.Outcomes {
		if o.Code == code {
			n += o.Count
		}
	}
	return n
}

// Result is the result of a run; All aggregates the organisations.
type Result struct {
	Seed    uint64
	Elapsed time.Duration
	// CompletedPerSecond is the rate of requests that got a complete response.
	CompletedPerSecond float64 `json:"WholePerSecond"`
	All                OrganisationResult
	Organisations      []OrganisationResult
}

// WriteText writes the result as a table with a row for each organisation and one for
// all of them.
func (r Result) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "organisation\trequests\twhole\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99\ttotal p99\tmax")
	for _, o := range append(r.Organisations[:len(r.Organisations):len(r.Organisations)], r.All) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\n",
			o.Organisation, o.Requests, o.Completed(),
			roundDuration(o.FirstToken.P50), roundDuration(o.FirstToken.P95), roundDuration(o.FirstToken.P99),
			roundDuration(o.BetweenTokens.P50), roundDuration(o.BetweenTokens.P95), roundDuration(o.BetweenTokens.P99),
			roundDuration(o.Total.P99), roundDuration(o.Total.Max))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, o := range r.All.Outcomes {
		if _, err := fmt.Fprintf(w, "outcome %s %s: %d\n", o.Code, o.Outcome, o.Count); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "seed %d: %.0f whole answers/s over %v\n", r.Seed, r.CompletedPerSecond, r.Elapsed.Round(time.Millisecond))
	return err
}

func roundDuration(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
