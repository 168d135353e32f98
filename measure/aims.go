package measure

import (
	"fmt"
	"io"
	"slices"
)

const (
	// worstToBest is how close the worst served organisation must come to the best.
	worstToBest = 0.9
	// skewGain is how many times the best baseline's attainment a moving skew should show.
	skewGain = 1.3
	// movesPart is the part of the moves without hysteresis that is allowed with it.
	movesPart = 0.5
	// goodputKept is the part of the best goodput that twice the capacity must leave.
	goodputKept = 0.95
	// refusedNone is what prints as no refusal.
	refusedNone = 0.00005
)

// printAims says for each site and aim whether it is met, and where it is not.
func printAims(w io.Writer, results []*result) {
	for _, s := range sites {
		of := slices.DeleteFunc(slices.Clone(results), func(r *result) bool { return r.site.name != s.name })
		below := func(r *result) bool { return r.scenario.below }
		skewed := func(r *result) bool { return r.scenario.name == "moving skew" }
		doubled := func(r *result) bool { return r.scenario.name == "twice the capacity" }
		always := func(*result) bool { return true }
		aim(w, s, "worst organisation at least 0.9 of the best below saturation", of, below, func(ours *result, _ []*result) (bool, string) {
			return ours.worst >= worstToBest*ours.best, fmt.Sprintf("%.2f", ours.worst/ours.best)
		})
		aim(w, s, "worst organisation better than under every baseline (0.1 % aside)", of, always, func(ours *result, others []*result) (bool, string) {
			best := bestOf(others, func(r *result) float64 { return r.worst })
			return ours.worst >= best.worst-0.001, fmt.Sprintf("%.1f%%, %s %.1f%%", 100*ours.worst, best.policy.name, 100*best.worst)
		})
		aim(w, s, "no refusal within rate below 90 % of capacity", of, below, func(ours *result, _ []*result) (bool, string) {
			return ours.refused < refusedNone, fmt.Sprintf("%.2f%%", 100*ours.refused)
		})
		aim(w, s, "attained 1.3 times the best baseline under moving skew", of, skewed, func(ours *result, others []*result) (bool, string) {
			best := bestOf(others, func(r *result) float64 { return r.attained })
			return ours.attained >= skewGain*best.attained,
				fmt.Sprintf("%.2f times %s", ours.attained/best.attained, best.policy.name)
		})
		aim(w, s, "at most half the moves of a placement without hysteresis", of, always, func(ours *result, _ []*result) (bool, string) {
			for _, r := range of {
				if r.policy.eager && r.scenario.name == ours.scenario.name {
					return float64(ours.moves) <= movesPart*float64(r.moves), fmt.Sprintf("%d of %d", ours.moves, r.moves)
				}
			}
			return true, ""
		})
		aim(w, s, "goodput at twice the capacity at least 95 % of the best at any load", of, doubled, func(ours *result, _ []*result) (bool, string) {
			best := bestOf(slices.DeleteFunc(slices.Clone(of), func(r *result) bool { return r.policy.name != ours.policy.name }), func(r *result) float64 { return r.goodput })
			return ours.goodput >= goodputKept*best.goodput, fmt.Sprintf("%.1f, %.1f in %s", ours.goodput, best.goodput, best.scenario.name)
		})
	}
}

// baselines are the policies that ours is compared with; the others are ours less one part.
func (p policy) baseline() bool { return p.plain != nil || p.static }

func bestOf(rs []*result, by func(*result) float64) *result {
	return slices.MaxFunc(rs, func(a, b *result) int {
		if by(a) < by(b) {
			return -1
		}
		return 1
	})
}

func aim(w io.Writer, s site, name string, results []*result, applies func(*result) bool, check func(ours *result, others []*result) (bool, string)) {
	met, missed := 0, ""
	for _, ours := range results {
		if ours.policy.name != "ours" || !applies(ours) {
			continue
		}
		var others []*result
		for _, r := range results {
			if r.scenario.name == ours.scenario.name && r.policy.baseline() {
				others = append(others, r)
			}
		}
		if len(others) == 0 {
			continue
		}
		if ok, why := check(ours, others); !ok {
			missed += fmt.Sprintf("; not in %s (%s)", ours.scenario.name, why)
			continue
		}
		met++
	}
	if met > 0 || missed != "" {
		fmt.Fprintf(w, "aim, %s: %s: met in %d scenarios%s\n", s.name, name, met, missed)
	}
}
