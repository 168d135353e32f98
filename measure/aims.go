package measure

import (
	"fmt"
	"io"
	"slices"
)

const (
	// minWorstToBest is the minimum ratio of the attainment of the worst served
	// organisation to that of the best served one.
	minWorstToBest = 0.9
	// minSkewGain is the minimum ratio of our attainment to that of the best baseline
	// under moving skew.
	minSkewGain = 1.3
	// maxMovesRatio is the maximum ratio of the moves with hysteresis to those without.
	maxMovesRatio = 0.5
	// minGoodputRatio is the minimum ratio of the goodput at twice the capacity to the
	// best goodput of all scenarios.
	minGoodputRatio = 0.95
	// maxRefusedShare is the share below which refusals are printed as 0.00 %.
	maxRefusedShare = 0.00005
)

// printAims prints for each site and aim in how many scenarios the aim is met, and the
// scenarios in which it is not.
func printAims(w io.Writer, results []*result) {
	for _, s := range sites {
		siteResults := slices.DeleteFunc(slices.Clone(results), func(r *result) bool { return r.site.name != s.name })
		below := func(r *result) bool { return r.scenario.belowSaturation }
		skewed := func(r *result) bool { return r.scenario.name == "moving skew" }
		overloaded := func(r *result) bool { return r.scenario.name == "twice the capacity" }
		always := func(*result) bool { return true }
		printAim(w, s, "worst organisation at least 0.9 of the best below saturation", siteResults, below, func(ours *result, _ []*result) (bool, string) {
			return ours.worstAttainment >= minWorstToBest*ours.bestAttainment, fmt.Sprintf("%.2f", ours.worstAttainment/ours.bestAttainment)
		})
		printAim(w, s, "worst organisation better than under every baseline (0.1 % aside)", siteResults, always, func(ours *result, others []*result) (bool, string) {
			best := maxBy(others, func(r *result) float64 { return r.worstAttainment })
			return ours.worstAttainment >= best.worstAttainment-0.001, fmt.Sprintf("%.1f%%, %s %.1f%%", 100*ours.worstAttainment, best.policy.name, 100*best.worstAttainment)
		})
		printAim(w, s, "no refusal within rate below 90 % of capacity", siteResults, below, func(ours *result, _ []*result) (bool, string) {
			return ours.refusedShare < maxRefusedShare, fmt.Sprintf("%.2f%%", 100*ours.refusedShare)
		})
		printAim(w, s, "attained 1.3 times the best baseline under moving skew", siteResults, skewed, func(ours *result, others []*result) (bool, string) {
			best := maxBy(others, func(r *result) float64 { return r.attainment })
			return ours.attainment >= minSkewGain*best.attainment,
				fmt.Sprintf("%.2f times %s", ours.attainment/best.attainment, best.policy.name)
		})
		printAim(w, s, "at most half the moves of a placement without hysteresis", siteResults, always, func(ours *result, _ []*result) (bool, string) {
			for _, r := range siteResults {
				if r.policy.noHysteresis && r.scenario.name == ours.scenario.name {
					return float64(ours.moves) <= maxMovesRatio*float64(r.moves), fmt.Sprintf("%d of %d", ours.moves, r.moves)
				}
			}
			return true, ""
		})
		printAim(w, s, "goodput at twice the capacity at least 95 % of the best at any load", siteResults, overloaded, func(ours *result, _ []*result) (bool, string) {
			best := maxBy(slices.DeleteFunc(slices.Clone(siteResults), func(r *result) bool { return r.policy.name != ours.policy.name }), func(r *result) float64 { return r.goodput })
			return ours.goodput >= minGoodputRatio*best.goodput, fmt.Sprintf("%.1f, %.1f in %s", ours.goodput, best.goodput, best.scenario.name)
		})
	}
}

// isBaseline reports whether our policy is compared with p. The other policies are ours
// with one part removed.
func (p policy) isBaseline() bool { return p.pick != nil || p.staticPlacement }

func maxBy(rs []*result, by func(*result) float64) *result {
	return slices.MaxFunc(rs, func(a, b *result) int {
		if by(a) < by(b) {
			return -1
		}
		return 1
	})
}

func printAim(w io.Writer, s site, name string, results []*result, applies func(*result) bool, check func(ours *result, others []*result) (bool, string)) {
	met, missed := 0, ""
	for _, ours := range results {
		if ours.policy.name != "ours" || !applies(ours) {
			continue
		}
		var others []*result
		for _, r := range results {
			if r.scenario.name == ours.scenario.name && r.policy.isBaseline() {
				others = append(others, r)
			}
		}
		if len(others) == 0 {
			continue
		}
		if ok, detail := check(ours, others); !ok {
			missed += fmt.Sprintf("; not in %s (%s)", ours.scenario.name, detail)
			continue
		}
		met++
	}
	if met > 0 || missed != "" {
		fmt.Fprintf(w, "aim, %s: %s: met in %d scenarios%s\n", s.name, name, met, missed)
	}
}
