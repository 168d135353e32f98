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

// Losses says of the requests that were not answered which cause they ended by, when, and
// whose they were; and for each organisation what it got and was refused against its rate.
type Losses struct {
	Causes        []Cause
	Organisations []Use
}

// Cause is one way in which requests ended without an answer.
type Cause struct {
	// Ending is the event and the code, and Why its cause without names and numbers.
	Ending string
	Why    string
	Count  int
	// When counts them by period, Models and Organisations by whose they were.
	When          map[time.Time]int
	Models        map[string]int
	Organisations map[string]int
}

// Use is what an organisation got in tokens, by period.
type Use struct {
	Organisation string
	// Rate is its contract's, in tokens a second, as the last line before the end said.
	Rate     float64
	Admitted map[time.Time]float64
	Refused  map[time.Time]float64
}

// lossPeriod is the time by which losses are counted: a change of the duty or a load takes
// some of them.
const lossPeriod = 2 * time.Second

// Lose groups lines of requests that were not answered, the most frequent cause first.
// Requests that the caller left, or that no configuration allows, are no losses.
func Lose(lines []Line) Losses {
	causes := map[string]*Cause{}
	uses := map[string]*Use{}
	for _, l := range lines {
		switch l.Event {
		case "quota":
			use(uses, l.Get("organisation")).Rate = number(l, "rate")
		case "answered", "refused", "broken off":
			count(uses, l)
			lose(causes, l)
		}
	}
	out := Losses{}
	for _, c := range causes {
		out.Causes = append(out.Causes, *c)
	}
	slices.SortFunc(out.Causes, func(a, b Cause) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Ending+a.Why, b.Ending+b.Why))
	})
	for _, name := range slices.Sorted(maps.Keys(uses)) {
		out.Organisations = append(out.Organisations, *uses[name])
	}
	return out
}

func lose(causes map[string]*Cause, l Line) {
	code := l.Get("code")
	if l.Event == "answered" || slices.Contains([]string{"CallerLeft", "NotFound", "KeyUnknown", "KeyMissing"}, code) {
		return
	}
	ending, why := l.Event+" "+cmp.Or(code, "-"), reason(l.Get("cause"))
	c := causes[ending+why]
	if c == nil {
		c = &Cause{Ending: ending, Why: why, When: map[time.Time]int{}, Models: map[string]int{}, Organisations: map[string]int{}}
		causes[ending+why] = c
	}
	c.Count++
	c.When[l.At.Truncate(lossPeriod)]++
	c.Models[cmp.Or(l.Get("model"), "-")]++
	c.Organisations[cmp.Or(l.Get("organisation"), "-")]++
}

// varying are the words of a cause that name something, or count it.
var varying = regexp.MustCompile(`\S*\d\S*`)

// mostReason is how many bytes of a cause are kept.
const mostReason = 90

func reason(cause string) string {
	out := varying.ReplaceAllString(cause, "#")
	return out[:min(len(out), mostReason)]
}

func use(uses map[string]*Use, organisation string) *Use {
	u := uses[organisation]
	if u == nil {
		u = &Use{Organisation: organisation, Admitted: map[time.Time]float64{}, Refused: map[time.Time]float64{}}
		uses[organisation] = u
	}
	return u
}

// count adds a request's tokens to what its organisation got, or was refused over its rate,
// when it began.
func count(uses map[string]*Use, l Line) {
	name := l.Get("organisation")
	if name == "" {
		return
	}
	total, _ := time.ParseDuration(l.Get("total"))
	at := l.At.Add(-total).Truncate(lossPeriod)
	switch {
	case l.Get("code") == "RateExceeded":
		use(uses, name).Refused[at] += number(l, "tokens")
	case l.Get("sends") != "0":
		use(uses, name).Admitted[at] += number(l, "tokens")
	}
}

func number(l Line, field string) float64 {
	n, err := strconv.ParseFloat(l.Get(field), 64)
	if err != nil {
		return 0
	}
	return n
}

// WriteText writes a table of the causes, and one of the organisations of which requests
// were refused: per period what was admitted and refused, in percent of the rate.
func (l Losses) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, c := range l.Causes {
		fmt.Fprintf(&b, "%6d  %s: %s\n        %s\n        models %s; organisations %s\n", c.Count, c.Ending, c.Why, timeline(c.When),
			foremost(c.Models), foremost(c.Organisations))
	}
	for _, u := range l.Organisations {
		if len(u.Refused) == 0 || u.Rate <= 0 {
			continue
		}
		fmt.Fprintf(&b, "organisation %s, rate %.0f: admitted/refused, in percent of it\n       ", u.Organisation, u.Rate)
		for _, at := range slices.SortedFunc(maps.Keys(u.Refused), time.Time.Compare) {
			percent := 100 / (u.Rate * lossPeriod.Seconds())
			fmt.Fprintf(&b, " %s %.0f/%.0f", at.Format("15:04:05"), u.Admitted[at]*percent, u.Refused[at]*percent)
		}
		b.WriteByte('\n')
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func timeline(when map[time.Time]int) string {
	var out []string
	for _, at := range slices.SortedFunc(maps.Keys(when), time.Time.Compare) {
		out = append(out, at.Format("15:04:05")+" "+strconv.Itoa(when[at]))
	}
	return strings.Join(out, ", ")
}

// mostForemost is how many models or organisations of a cause are named.
const mostForemost = 3

func foremost(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(counts[b]-counts[a], cmp.Compare(a, b))
	})
	var out []string
	for _, n := range names[:min(mostForemost, len(names))] {
		out = append(out, n+" "+strconv.Itoa(counts[n]))
	}
	return strings.Join(out, ", ")
}
