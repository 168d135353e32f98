package proof

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"galenastair"
)

// maxPrintedViolations limits the violations that are printed for each invariant.
const maxPrintedViolations = 5

// Report writes the number of injected faults, the result for each invariant, and the
// share of requests that were served. It returns the number of violated invariants.
func Report(out io.Writer, h *History, results []Result, runs int) int {
	counts := summarizeFaults(h)
	fmt.Fprintf(out, "faults injected: %s\n", counts)
	violated := 0
	for _, res := range results {
		state := "proved"
		switch {
		case len(res.Violations) > 0:
			state = "VIOLATED"
			violated++
		case res.Checks == 0:
			state = "not checked"
		}
		fmt.Fprintf(out, "%-72s runs %d, checks %d, violations %d: %s\n", res.Invariant, runs, res.Checks, len(res.Violations), state)
		for _, text := range res.Violations[:min(len(res.Violations), maxPrintedViolations)] {
			fmt.Fprintf(out, "    violation: %s\n", text)
		}
		for _, text := range res.Measurements {
			fmt.Fprintf(out, "    %s\n", text)
		}
	}
	writeAvailability(out, h)
	return violated
}

func summarizeFaults(h *History) string {
	counts := map[FaultKind]int{}
	failed := 0
	for _, f := range h.Faults {
		if f.Err != "" {
			failed++
			continue
		}
		counts[f.Kind]++
	}
	var words []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		words = append(words, fmt.Sprintf("%s %d", k, counts[k]))
	}
	return fmt.Sprintf("%s (%d failed)", strings.Join(words, ", "), failed)
}

// writeAvailability writes the share of valid requests that were served. A request is
// valid if its key is in force, it is within the rate limit, and it does not make the
// engine exit that runs it.
func writeAvailability(out io.Writer, h *History) {
	all, outage := servedRatio{}, servedRatio{}
	codes := map[galenastair.Code]int{}
	broken := 0
	for _, r := range h.Requests {
		if !isValid(r) {
			continue
		}
		all.add(r)
		if faultDuring(h, r.Start, r.Start, LogOutage, LogHang) {
			outage.add(r)
		}
		if !r.served() {
			codes[r.Code]++
		}
		if r.ConnectionBroken || r.ConnectionRefused {
			broken++
		}
	}
	fmt.Fprintf(out, "valid requests served: %s; during outages of the log: %s\n", all, outage)
	fmt.Fprintf(out, "valid requests not served, by code:")
	for _, c := range slices.Sorted(maps.Keys(codes)) {
		name := string(c)
		if c == "" {
			name = "no code"
		}
		fmt.Fprintf(out, " %s %d", name, codes[c])
	}
	fmt.Fprintf(out, "; %d connections refused or broken\n", broken)
	slowest := time.Duration(0)
	for _, r := range h.Requests {
		slowest = max(slowest, r.End.Sub(r.Start))
	}
	fmt.Fprintf(out, "requests %d, slowest response %s\n", len(h.Requests), slowest.Round(time.Millisecond))
}

func isValid(r Request) bool {
	if r.Organisation == overLimitOrganisation && strings.HasPrefix(string(r.Code), "Rate") {
		return false
	}
	switch r.Code {
	case "RateExceeded", "KeyWithdrawn", "KeyUnknown", "Poison", "Duplicate", "DuplicateUnsettled":
		return false
	}
	return !strings.HasPrefix(string(r.ID), "poison-")
}

type servedRatio struct{ served, total int }

func (s *servedRatio) add(r Request) {
	s.total++
	if r.served() {
		s.served++
	}
}

// String returns the percentage and the number of requests that it refers to.
func (s servedRatio) String() string {
	if s.total == 0 {
		return "no requests"
	}
	return fmt.Sprintf("%.2f%% of %d", 100*float64(s.served)/float64(s.total), s.total)
}
