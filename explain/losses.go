package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// FailureReport groups the requests that were not answered by cause, and compares what each
// organisation was granted and refused with its rate.
type FailureReport struct {
	Groups []FailureGroup
	Usage  []OrganisationUsage
}

// FailureGroup counts the requests that failed with the same result and cause.
type FailureGroup struct {
	// Result is the final event and its code.
	Result string
	// Cause is the logged cause, with names and numbers replaced by "#".
	Cause string
	Count int
	// ByTime counts the requests by failureInterval.
	ByTime         map[time.Time]int
	ByModel        map[string]int
	ByOrganisation map[string]int
}

// OrganisationUsage is how many tokens an organisation was granted and refused, by
// failureInterval.
type OrganisationUsage struct {
	Organisation string
	// Rate is the contract's rate in tokens per second, from the last quota line in the logs.
	Rate           float64
	AdmittedTokens map[time.Time]float64
	RefusedTokens  map[time.Time]float64
}

// failureInterval is the interval by which failures are counted. A change of leader or a model
// load takes several intervals, so the counts show how long its effect lasted.
const failureInterval = 2 * time.Second

// NewFailureReport groups the requests that were not answered, sorted by descending count.
// Requests whose caller closed the connection, or that no configuration permits, are not
// counted as failures.
func NewFailureReport(lines []Line) FailureReport {
	groups := map[string]*FailureGroup{}
	usage := map[string]*OrganisationUsage{}
	for _, l := range lines {
		switch l.Event {
		case "quota":
			usageOf(usage, l.Get("organisation")).Rate = floatField(l, "rate")
		case "answered", "refused", "broken off":
			addUsage(usage, l)
			addFailure(groups, l)
		}
	}
	out := FailureReport{}
	for _, g := range groups {
		out.Groups = append(out.Groups, *g)
	}
	slices.SortFunc(out.Groups, func(a, b FailureGroup) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Result+a.Cause, b.Result+b.Cause))
	})
	for _, name := range slices.Sorted(maps.Keys(usage)) {
		out.Usage = append(out.Usage, *usage[name])
	}
	return out
}

func addFailure(groups map[string]*FailureGroup, l Line) {
	code := l.Get("code")
	if l.Event == "answered" || slices.Contains([]string{"CallerLeft", "NotFound", "KeyUnknown", "KeyMissing"}, code) {
		return
	}
	result, cause := l.Event+" "+cmp.Or(code, "-"), normalizeCause(l.Get("cause"))
	g := groups[result+cause]
	if g == nil {
		g = &FailureGroup{Result: result, Cause: cause, ByTime: map[time.Time]int{}, ByModel: map[string]int{}, ByOrganisation: map[string]int{}}
		groups[result+cause] = g
	}
	g.Count++
	g.ByTime[l.At.Truncate(failureInterval)]++
	g.ByModel[cmp.Or(l.Get("model"), "-")]++
	g.ByOrganisation[cmp.Or(l.Get("organisation"), "-")]++
}

// variableWord matches the words of a cause that contain a digit: names, addresses and counts,
// which would split one cause into many groups.
var variableWord = regexp.MustCompile(`\S*\d\S*`)

// maxCauseBytes is how many bytes of a cause are used.
const maxCauseBytes = 90

func normalizeCause(cause string) string {
	out := variableWord.ReplaceAllString(cause, "#")
	return out[:min(len(out), maxCauseBytes)]
}

func usageOf(usage map[string]*OrganisationUsage, organisation string) *OrganisationUsage {
	u := usage[organisation]
	if u == nil {
		u = &OrganisationUsage{Organisation: organisation, AdmittedTokens: map[time.Time]float64{}, RefusedTokens: map[time.Time]float64{}}
		usage[organisation] = u
	}
	return u
}

// addUsage adds the tokens of a request to those that its organisation was granted, or was
// refused because of its rate, in the interval in which the request began. Requests that were
// never sent to a backend server count as neither.
func addUsage(usage map[string]*OrganisationUsage, l Line) {
	name := l.Get("organisation")
	if name == "" {
		return
	}
	total, _ := time.ParseDuration(l.Get("total"))
	at := l.At.Add(-total).Truncate(failureInterval)
	switch {
	case l.Get("code") == "RateExceeded":
		usageOf(usage, name).RefusedTokens[at] += floatField(l, "tokens")
	case l.Get("sends") != "0":
		usageOf(usage, name).AdmittedTokens[at] += floatField(l, "tokens")
	}
}

func floatField(l Line, field string) float64 {
	n, err := strconv.ParseFloat(l.Get(field), 64)
	if err != nil {
		return 0
	}
	return n
}

// WriteText writes the groups, and the usage of each organisation that had requests refused
// because of its rate: the tokens admitted and refused per interval, in percent of the rate.
func (l FailureReport) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, g := range l.Groups {
		fmt.Fprintf(&b, "%6d  %s: %s\n        %s\n        models %s; organisations %s\n", g.Count, g.Result, g.Cause, formatTimeline(g.ByTime),
			formatTop(g.ByModel), formatTop(g.ByOrganisation))
	}
	for _, u := range l.Usage {
		if len(u.RefusedTokens) == 0 || u.Rate <= 0 {
			continue
		}
		fmt.Fprintf(&b, "organisation %s, rate %.0f: admitted/refused, in percent of the rate\n       ", u.Organisation, u.Rate)
		for _, at := range slices.SortedFunc(maps.Keys(u.RefusedTokens), time.Time.Compare) {
			percent := 100 / (u.Rate * failureInterval.Seconds())
			fmt.Fprintf(&b, " %s %.0f/%.0f", at.Format("15:04:05"), u.AdmittedTokens[at]*percent, u.RefusedTokens[at]*percent)
		}
		b.WriteByte('\n')
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func formatTimeline(when map[time.Time]int) string {
	var out []string
	for _, at := range slices.SortedFunc(maps.Keys(when), time.Time.Compare) {
		out = append(out, at.Format("15:04:05")+" "+strconv.Itoa(when[at]))
	}
	return strings.Join(out, ", ")
}

// maxTopNames is how many models or organisations of a group WriteText lists.
const maxTopNames = 3

func formatTop(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(counts[b]-counts[a], cmp.Compare(a, b))
	})
	var out []string
	for _, n := range names[:min(maxTopNames, len(names))] {
		out = append(out, n+" "+strconv.Itoa(counts[n]))
	}
	return strings.Join(out, ", ")
}
