package proof

import (
	"fmt"
	"slices"
	"time"

	"galenastair"
	"galenastair/rate"
)

// checkReach finds for each model the longest time in which nobody got a whole answer.
func checkReach(h *History, b Bounds) Verdict {
	v := Verdict{Point: EveryModelReachable}
	byModel := map[galenastair.ModelName][]Request{}
	for _, r := range h.Requests {
		if r.Model != "" {
			byModel[r.Model] = append(byModel[r.Model], r)
		}
	}
	var worst time.Duration
	for model, requests := range byModel {
		v.Checks++
		gap, from := longestGap(requests)
		worst = max(worst, gap)
		if gap > b.Reach {
			v.violate("%s gave no whole answer for %s from %s", model, gap.Round(time.Millisecond), clock(from))
		}
	}
	v.figure("longest time without a whole answer of a model %s", worst.Round(time.Millisecond))
	return v
}

func longestGap(requests []Request) (time.Duration, time.Time) {
	slices.SortFunc(requests, func(a, b Request) int { return a.End.Compare(b.End) })
	last := requests[0].Start
	var gap time.Duration
	from := last
	for _, r := range requests {
		if d := r.End.Sub(last); d > gap {
			gap, from = d, last
		}
		if r.served() {
			last = r.End
		}
	}
	return gap, from
}

// checkKeys looks for requests that were served on a withdrawn key, or answered
// on a key that was never given, and for keys that backend servers were shown.
func checkKeys(h *History, b Bounds) Verdict {
	v := Verdict{Point: KeysAndOrganisations}
	withdrawn := map[galenastair.KeyHash]Change{}
	for _, c := range h.Changes {
		if c.Key != "" && c.Accepted && c.Kind == "KeyWithdrawn" {
			withdrawn[c.Key] = c
		}
	}
	var last time.Duration
	for _, r := range h.Requests {
		c, found := withdrawn[r.Key]
		if !found || r.Status != 200 {
			continue
		}
		v.Checks++
		if late := r.Start.Sub(c.End); late > 0 {
			last = max(last, late)
		}
		if r.Start.Sub(c.End) > b.Withdrawal {
			v.violate("%s was served by %s %s after its key was withdrawn", r.ID, r.Entry, r.Start.Sub(c.End))
		}
		if r.Whole && r.End.Sub(c.End) > b.StreamEnd {
			v.violate("%s went on through %s for %s after its key was withdrawn", r.ID, r.Entry, r.End.Sub(c.End))
		}
	}
	for _, r := range h.Runs {
		v.Checks++
		if r.KeySeen {
			v.violate("%s was shown a key with %s", r.Server, r.Request)
		}
	}
	v.figure("last admission on a withdrawn key %s after its withdrawal", last.Round(time.Millisecond))
	return v
}

// checkRate looks at every span of time that starts with one request and ends
// with another. Only requests that lie in it as a whole count, with the tokens
// that they used in the end: they were charged in it for certain.
func checkRate(h *History, limits map[galenastair.Organisation]Limit) Verdict {
	v := Verdict{Point: WithinRateAndBurst}
	byOrganisation := map[galenastair.Organisation][]Request{}
	for _, r := range h.Requests {
		if r.served() {
			byOrganisation[r.Organisation] = append(byOrganisation[r.Organisation], r)
		}
	}
	for o, requests := range byOrganisation {
		limit, known := limits[o]
		if !known {
			continue
		}
		spans, worst, text := overRate(requests, limit)
		v.Checks += spans
		if text != "" {
			v.violate("%s: %s", o, text)
		}
		v.figure("%s came to %.0f%% of what its contract allows at most", o, 100*worst)
	}
	slices.Sort(v.Figures)
	checkGrants(h, limits, &v)
	return v
}

// checkGrants checks what all entries granted together, as they wrote it down.
func checkGrants(h *History, limits map[galenastair.Organisation]Limit, v *Verdict) {
	byOrganisation := map[galenastair.Organisation][]rate.Grant{}
	for _, g := range h.Grants {
		byOrganisation[g.Organisation] = append(byOrganisation[g.Organisation], g)
	}
	for o, grants := range byOrganisation {
		limit, known := limits[o]
		if !known {
			continue
		}
		v.Checks += len(grants)
		if err := rate.CheckHistory(grants, rate.Contract{Rate: limit.Rate, Burst: limit.Burst}); err != nil {
			v.violate("%v", err)
		}
	}
	v.figure("%d grants of %d organisations merged", len(h.Grants), len(byOrganisation))
}

func overRate(requests []Request, limit Limit) (spans int, worst float64, text string) {
	slices.SortFunc(requests, func(a, b Request) int { return a.End.Compare(b.End) })
	for _, first := range requests {
		var used galenastair.Tokens
		for _, r := range requests {
			if r.Start.Before(first.Start) {
				continue
			}
			used += charged(r)
			spans++
			length := r.End.Sub(first.Start)
			allowed := float64(limit.Burst) + float64(limit.Rate)*length.Seconds()
			share := float64(used) / allowed
			if share > worst {
				worst = share
			}
			if share > 1 && text == "" {
				text = fmt.Sprintf("%d tokens in %s from %s where %.0f are allowed", used, length.Round(time.Millisecond), clock(first.Start), allowed)
			}
		}
	}
	return spans, worst, text
}

// charged is the least that a served request was charged; a call to a plain
// service costs one token.
func charged(r Request) galenastair.Tokens {
	return max(r.Tokens, 1)
}

// checkWhole compares every answer that looks whole, token by token, with the
// one that the engine gives to this request alone.
func checkWhole(h *History) Verdict {
	v := Verdict{Point: WholeAnswers}
	cut := 0
	for _, r := range h.Requests {
		if r.Status != 200 {
			continue
		}
		v.Checks++
		if r.Whole && !r.Right {
			v.violate("%s through %s looked whole and was not the answer to it", r.ID, r.Entry)
		}
		if !r.Whole {
			cut++
		}
	}
	v.figure("%d answers cut, each with an error or a broken connection", cut)
	return v
}

// checkStops looks for requests that a stopping entry cut without a word.
func checkStops(h *History) Verdict {
	v := Verdict{Point: PlannedStops}
	for _, f := range h.Faults {
		if f.Kind != StopEntry {
			continue
		}
		if f.Err != "" {
			v.violate("%s: %s", f.Target, f.Err)
		}
		for _, r := range h.Requests {
			if r.Entry != f.Target || !r.Start.Before(f.End) || !r.End.After(f.Start) {
				continue
			}
			v.Checks++
			if r.Broken && !hit(h, r) {
				v.violate("%s was cut by the stop of %s at %s", r.ID, f.Target, clock(r.End))
			}
		}
	}
	return v
}

// hit says that something other than a planned stop was done to the request's entry meanwhile.
func hit(h *History, r Request) bool {
	for _, f := range h.Faults {
		unplanned := f.Kind == KillEntry || f.Kind == KillLeader || f.Kind == PauseEntry || f.Kind == PauseLeader
		if unplanned && f.Target == r.Entry && f.during(r.Start, r.End, time.Second) {
			return true
		}
	}
	return false
}
