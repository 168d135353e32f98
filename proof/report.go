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

// maxShown bounds the violations that are printed of one point.
const maxShown = 5

// Report writes one line for each point, what was done, and how callers fared.
// It returns how many points were violated.
func Report(out io.Writer, h *History, verdicts []Verdict, runs int) int {
	counts := countFaults(h)
	fmt.Fprintf(out, "faults injected: %s\n", counts)
	violated := 0
	for _, v := range verdicts {
		state := "proved"
		switch {
		case len(v.Violations) > 0:
			state = "VIOLATED"
			violated++
		case v.Checks == 0:
			state = "not checked"
		}
		fmt.Fprintf(out, "%-72s runs %d, checks %d, violations %d: %s\n", v.Point, runs, v.Checks, len(v.Violations), state)
		for _, text := range v.Violations[:min(len(v.Violations), maxShown)] {
			fmt.Fprintf(out, "    violation: %s\n", text)
		}
		for _, text := range v.Figures {
			fmt.Fprintf(out, "    %s\n", text)
		}
	}
	availability(out, h)
	return violated
}

func countFaults(h *History) string {
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
	return fmt.Sprintf("%s (%d could not be)", strings.Join(words, ", "), failed)
}

// availability shows the share of valid requests that were served: those on keys
// in force, within rate, that do not stop what runs them.
func availability(out io.Writer, h *History) {
	all, outage := share{}, share{}
	codes := map[galenastair.Code]int{}
	broken := 0
	for _, r := range h.Requests {
		if !valid(r) {
			continue
		}
		all.add(r)
		if lagged(h, r.Start, r.Start, LogOutage, LogHang) {
			outage.add(r)
		}
		if !r.served() {
			codes[r.Code]++
		}
		if r.Broken || r.Refused {
			broken++
		}
	}
	fmt.Fprintf(out, "valid requests served: %s; during outages of the log: %s\n", all, outage)
	fmt.Fprintf(out, "valid requests not served by code:")
	for _, c := range slices.Sorted(maps.Keys(codes)) {
		name := string(c)
		if c == "" {
			name = "no word"
		}
		fmt.Fprintf(out, " %s %d", name, codes[c])
	}
	fmt.Fprintf(out, "; %d connections refused or broken\n", broken)
	slow := time.Duration(0)
	for _, r := range h.Requests {
		slow = max(slow, r.End.Sub(r.Start))
	}
	fmt.Fprintf(out, "requests %d, slowest final answer %s\n", len(h.Requests), slow.Round(time.Millisecond))
}

func valid(r Request) bool {
	if r.Organisation == overOrganisation && strings.HasPrefix(string(r.Code), "Rate") {
		return false
	}
	switch r.Code {
	case "RateExceeded", "KeyWithdrawn", "KeyUnknown", "Poison", "Duplicate", "DuplicateUnsettled":
		return false
	}
	return !strings.HasPrefix(string(r.ID), "poison-")
}

type share struct{ served, all int }

func (s *share) add(r Request) {
	s.all++
	if r.served() {
		s.served++
	}
}

// String returns the share with its count.
func (s share) String() string {
	if s.all == 0 {
		return "none asked"
	}
	return fmt.Sprintf("%.2f%% of %d", 100*float64(s.served)/float64(s.all), s.all)
}
