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
	// Histograms cover 1 µs to 10 minutes with two significant digits and take about
	// 40 KB each.
	lowest  = int64(time.Microsecond)
	highest = int64(10 * time.Minute)
	digits  = 2
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }

type outcomeKey struct {
	code    galenastair.Code
	outcome galenastair.Outcome
}

// tally accumulates the samples of one organisation.
type tally struct {
	organisation galenastair.Organisation

	mu            sync.Mutex
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	total         *hdrhistogram.Histogram
	outcomes      map[outcomeKey]int
}

func newTally(o galenastair.Organisation) *tally {
	return &tally{
		organisation:  o,
		firstToken:    newHistogram(),
		betweenTokens: newHistogram(),
		total:         newHistogram(),
		outcomes:      map[outcomeKey]int{},
	}
}

// add adds one request. The latencies include only requests with a complete response.
func (t *tally) add(s *sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcomeKey{s.code, s.outcome}]++
	if s.code != codeComplete {
		return
	}
	record(t.firstToken, s.firstToken)
	record(t.total, s.total)
	for _, gap := range s.gaps {
		record(t.betweenTokens, gap)
	}
}

func (t *tally) addDropped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcomeKey{codeDropped, galenastair.OutcomeNotRun}]++
}

// record adds d to the histogram, clamped to the range that the histogram covers. A Max
// of 10 minutes shows that longer durations were clamped.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), lowest), highest))
}

// merge adds the samples of another tally to this one.
func (t *tally) merge(o *tally) {
	t.firstToken.Merge(o.firstToken)
	t.betweenTokens.Merge(o.betweenTokens)
	t.total.Merge(o.total)
	for k, n := range o.outcomes {
		t.outcomes[k] += n
	}
}

func (t *tally) result() OrganisationResult {
	r := OrganisationResult{
		Organisation:  t.organisation,
		FirstToken:    quantiles(t.firstToken),
		BetweenTokens: quantiles(t.betweenTokens),
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
