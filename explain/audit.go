package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"
)

// Audit sums up how the requests in some logs ended, and finds those that nothing explains.
type Audit struct {
	// Requests counts those that are named, Served those that got a backend server's answer.
	Requests int
	Served   int
	// Reasons counts the others by their ending's code; those that left the caller itself
	// are among them.
	Reasons map[string]int
	// Cut are requests whose instance was started again before they ended.
	Cut []string
	// Unexplained are requests without an ending, though their instance went on.
	Unexplained []string
	// LeftOut is how many lines the instances say that they left out.
	LeftOut int
}

// ended is how a request ended at one instance.
type ended struct {
	instance string
	last     time.Time
	ending   string
	code     string
}

// Count audits lines.
func Count(lines []Line) Audit {
	requests := map[string]*ended{}
	starts := map[string][]time.Time{}
	a := Audit{Reasons: map[string]int{}}
	for _, l := range lines {
		switch {
		case l.Event == "start":
			starts[l.Instance] = append(starts[l.Instance], l.At)
		case l.Event == "log lines left out":
			n, err := strconv.Atoi(l.Get("lines"))
			if err == nil {
				a.LeftOut += n
			}
		case l.Request != "":
			take(requests, l)
		}
	}
	for id, r := range requests {
		a.add(id, r, starts[r.instance])
	}
	slices.Sort(a.Cut)
	slices.Sort(a.Unexplained)
	return a
}

func take(requests map[string]*ended, l Line) {
	r := requests[l.Request]
	if r == nil {
		r = &ended{}
		requests[l.Request] = r
	}
	if l.At.After(r.last) {
		r.instance, r.last = l.Instance, l.At
	}
	switch l.Event {
	case "answered", "refused", "broken off":
		r.ending, r.code = l.Event, l.Get("code")
	}
}

func (a *Audit) add(id string, r *ended, starts []time.Time) {
	a.Requests++
	switch {
	case r.ending == "answered":
		a.Served++
	case r.ending != "":
		a.Reasons[r.ending+" "+cmp.Or(r.code, "-")]++
	case slices.ContainsFunc(starts, r.last.Before):
		a.Cut = append(a.Cut, id)
	default:
		a.Unexplained = append(a.Unexplained, id)
	}
}

// mostNamed is how many unexplained requests are named.
const mostNamed = 10

// WriteText writes the audit, the most frequent reason first.
func (a Audit) WriteText(w io.Writer) error {
	reasons := make([]string, 0, len(a.Reasons))
	for r := range a.Reasons {
		reasons = append(reasons, r)
	}
	slices.SortFunc(reasons, func(x, y string) int {
		return cmp.Or(a.Reasons[y]-a.Reasons[x], cmp.Compare(x, y))
	})
	text := fmt.Sprintf("requests     %6d\nanswered     %6d\n", a.Requests, a.Served)
	for _, r := range reasons {
		text += fmt.Sprintf("%-24s %6d\n", r, a.Reasons[r])
	}
	text += fmt.Sprintf("instance ended %4d\nunexplained  %6d\nlines left out %4d\n", len(a.Cut), len(a.Unexplained), a.LeftOut)
	for _, id := range a.Unexplained[:min(mostNamed, len(a.Unexplained))] {
		text += "unexplained request " + id + "\n"
	}
	_, err := io.WriteString(w, text)
	return err
}
