package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"galenastair"
)

const (
	// histograms hold 1 us to 10 minutes with two digits, about 40 KB each.
	lowest = int64(time.Microsecond)
	most   = int64(10 * time.Minute)
	digits = 2
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, most, digits) }

type outcomeKey struct {
	code    galenastair.Code
	outcome galenastair.Outcome
}

// tally counts what the requests of one organisation showed.
type tally struct {
	organisation galenastair.Organisation

	mu       sync.Mutex
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
	outcomes map[outcomeKey]int
}

func newTally(o galenastair.Organisation) *tally {
	return &tally{
		organisation: o,
		first:        newHistogram(),
		between:      newHistogram(),
		total:        newHistogram(),
		outcomes:     map[outcomeKey]int{},
	}
}

// add counts one request; only whole answers count in the times.
func (t *tally) add(s *sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcomeKey{s.code, s.outcome}]++
	if s.code != codeWhole {
		return
	}
	record(t.first, s.first)
	record(t.total, s.total)
	for _, gap := range s.gaps {
		record(t.between, gap)
	}
}

func (t *tally) drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcomeKey{codeUnsettled, galenastair.NotRun}]++
}

// record leaves out what the histogram cannot hold, which Max would show anyway.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), lowest), most))
}

// merge adds another tally to this one.
func (t *tally) merge(o *tally) {
	t.first.Merge(o.first)
	t.between.Merge(o.between)
	t.total.Merge(o.total)
	for k, n := range o.outcomes {
		t.outcomes[k] += n
	}
}

func (t *tally) result() OrganisationResult {
	r := OrganisationResult{
		Organisation:  t.organisation,
		FirstToken:    quantiles(t.first),
		BetweenTokens: quantiles(t.between),
		Total:         quantiles(t.total),
	}
	for k, n := range t.outcomes {
		r.Outcomes = append(r.Outcomes, OutcomeCount{k.code, k.outcome, n})
		r.Requests += n
	}
	slices.SortFunc(r.Outcomes, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Outcome, b.Outcome))
	})
	return r
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(p float64) time.Duration { return time.Duration(h.ValueAtQuantile(p)) }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P95:   at(95),
		P99:   at(99),
		P999:  at(99.9),
		Max:   time.Duration(h.Max()),
	}
}
