package proof

import (
	"fmt"
	"slices"
	"time"

	"galenastair"
	"galenastair/rate"
)

// checkModelAvailability finds the longest period in which a model gave no caller a
// complete answer.
func checkModelAvailability(h *History, b Bounds) Result {
	res := Result{Invariant: ModelsReachable}
	byModel := map[galenastair.ModelName][]Request{}
	for _, r := range h.Requests {
		if r.Model != "" {
			byModel[r.Model] = append(byModel[r.Model], r)
		}
	}
	var worst time.Duration
	for model, requests := range byModel {
		res.Checks++
		gap, from := longestGap(requests)
		worst = max(worst, gap)
		if gap > b.ModelUnavailable {
			res.violationf("%s gave no complete answer for %s from %s", model, gap.Round(time.Millisecond), formatTime(from))
		}
	}
	res.measurementf("longest period without a complete answer of a model: %s", worst.Round(time.Millisecond))
	return res
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

// checkKeys looks for requests that were served with a withdrawn key, and for keys
// that were passed on to a backend server, which may see none.
func checkKeys(h *History, b Bounds) Result {
	res := Result{Invariant: KeysEnforced}
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
		res.Checks++
		if delay := r.Start.Sub(c.End); delay > 0 {
			last = max(last, delay)
		}
		if r.Start.Sub(c.End) > b.AdmissionAfterWithdrawal {
			res.violationf("%s was served by %s although it was sent %s after its key was withdrawn", r.ID, r.Entry, r.Start.Sub(c.End))
		}
		if r.Complete && r.End.Sub(c.End) > b.StreamAfterWithdrawal {
			res.violationf("%s was streamed through %s until %s after its key was withdrawn", r.ID, r.Entry, r.End.Sub(c.End))
		}
	}
	for _, r := range h.Runs {
		res.Checks++
		if r.KeySeen {
			res.violationf("%s received an API key with %s", r.Server, r.Request)
		}
	}
	res.measurementf("last admission with a withdrawn key: %s after its withdrawal", last.Round(time.Millisecond))
	return res
}

// checkRate checks every window that starts with one request and ends with another.
// Only requests that lie completely within the window count, with the tokens that
// they used: they are certain to have been charged within it.
func checkRate(h *History, limits map[galenastair.Organisation]Limit) Result {
	res := Result{Invariant: RateLimitsEnforced}
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
		windows, worst, violation := measureRate(requests, limit)
		res.Checks += windows
		if violation != "" {
			res.violationf("%s: %s", o, violation)
		}
		res.measurementf("%s used at most %.0f%% of what its contract allows", o, 100*worst)
	}
	slices.Sort(res.Measurements)
	checkGrants(h, limits, &res)
	return res
}

// checkGrants checks the sum of the tokens that all entries granted, as recorded in
// their journals.
func checkGrants(h *History, limits map[galenastair.Organisation]Limit, res *Result) {
	byOrganisation := map[galenastair.Organisation][]rate.Grant{}
	for _, g := range h.Grants {
		byOrganisation[g.Organisation] = append(byOrganisation[g.Organisation], g)
	}
	for o, grants := range byOrganisation {
		limit, known := limits[o]
		if !known {
			continue
		}
		res.Checks += len(grants)
		if err := rate.CheckHistory(grants, rate.Contract{Rate: limit.Rate, Burst: limit.Burst}); err != nil {
			res.violationf("%v", err)
		}
	}
	res.measurementf("%d grants to %d organisations checked", len(h.Grants), len(byOrganisation))
}

func measureRate(requests []Request, limit Limit) (windows int, worst float64, violation string) {
	slices.SortFunc(requests, func(a, b Request) int { return a.End.Compare(b.End) })
	for _, first := range requests {
		var used galenastair.Tokens
		for _, r := range requests {
			if r.Start.Before(first.Start) {
				continue
			}
			used += minimumCharge(r)
			windows++
			length := r.End.Sub(first.Start)
			allowed := float64(limit.Burst) + float64(limit.Rate)*length.Seconds()
			share := float64(used) / allowed
			if share > worst {
				worst = share
			}
			if share > 1 && violation == "" {
				violation = fmt.Sprintf("%d tokens used in %s from %s, but only %.0f are allowed", used, length.Round(time.Millisecond), formatTime(first.Start), allowed)
			}
		}
	}
	return windows, worst, violation
}

// minimumCharge returns the least number of tokens that a served request was
// charged; a call to a plain service costs one token.
func minimumCharge(r Request) galenastair.Tokens {
	return max(r.Tokens, 1)
}

// checkAnswers looks for complete answers that differ from the expected one. The text
// of an answer depends on the request, so another request's answer is found as well.
func checkAnswers(h *History) Result {
	res := Result{Invariant: AnswersComplete}
	truncated := 0
	for _, r := range h.Requests {
		if r.Status != 200 {
			continue
		}
		res.Checks++
		if r.Complete && !r.Correct {
			res.violationf("%s through %s got a complete answer that was not the expected one", r.ID, r.Entry)
		}
		if !r.Complete {
			truncated++
		}
	}
	res.measurementf("%d answers were truncated, each with an error or a broken connection", truncated)
	return res
}

// checkGracefulStops looks for requests whose connection an entry broke without an
// error response while it was stopping.
func checkGracefulStops(h *History) Result {
	res := Result{Invariant: StopsGraceful}
	for _, f := range h.Faults {
		if f.Kind != StopEntry {
			continue
		}
		if f.Err != "" {
			res.violationf("%s: %s", f.Target, f.Err)
		}
		for _, r := range h.Requests {
			if r.Entry != f.Target || !r.Start.Before(f.End) || !r.End.After(f.Start) {
				continue
			}
			res.Checks++
			if r.ConnectionBroken && !disruptedByFault(h, r) {
				res.violationf("%s was interrupted by the stop of %s at %s", r.ID, f.Target, formatTime(r.End))
			}
		}
	}
	return res
}

// disruptedByFault reports whether the request's entry was killed or paused while
// the request was open, or up to a second before.
func disruptedByFault(h *History, r Request) bool {
	for _, f := range h.Faults {
		unplanned := f.Kind == KillEntry || f.Kind == KillLeader || f.Kind == PauseEntry || f.Kind == PauseLeader
		if unplanned && f.Target == r.Entry && f.overlaps(r.Start, r.End, time.Second) {
			return true
		}
	}
	return false
}
