package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"
)

// Audit counts how the requests in a set of logs ended, and lists those whose end the logs
// don't explain.
type Audit struct {
	// Requests is the number of request IDs in the logs.
	Requests int
	// Answered is the number of requests that got an answer of a backend server.
	Answered int
	// Reasons counts the requests that ended without such an answer, by final event and
	// code. Requests whose caller closed the connection are included.
	Reasons map[string]int
	// Interrupted lists the requests that had not ended when their instance restarted.
	Interrupted []string
	// Unexplained lists the requests without a final event whose instance did not restart
	// afterwards.
	Unexplained []string
	// DroppedLines is how many log lines the instances report that they dropped.
	DroppedLines int
}

// requestState is what the lines read so far say about one request: the instance and time of
// its latest line, and its final event and code once there is one.
type requestState struct {
	instance   string
	lastSeen   time.Time
	finalEvent string
	code       string
}

// NewAudit counts how the requests in the given log lines ended.
func NewAudit(lines []Line) Audit {
	requests := map[string]*requestState{}
	starts := map[string][]time.Time{}
	a := Audit{Reasons: map[string]int{}}
	for _, l := range lines {
		switch {
		case l.Event == "start":
			starts[l.Instance] = append(starts[l.Instance], l.At)
		case l.Event == "log lines left out":
			n, err := strconv.Atoi(l.Get("lines"))
			if err == nil {
				a.DroppedLines += n
			}
		case l.Request != "":
			updateState(requests, l)
		}
	}
	for id, r := range requests {
		a.add(id, r, starts[r.instance])
	}
	slices.Sort(a.Interrupted)
	slices.Sort(a.Unexplained)
	return a
}

func updateState(requests map[string]*requestState, l Line) {
	r := requests[l.Request]
	if r == nil {
		r = &requestState{}
		requests[l.Request] = r
	}
	if l.At.After(r.lastSeen) {
		r.instance, r.lastSeen = l.Instance, l.At
	}
	switch l.Event {
	case "answered", "refused", "broken off":
		r.finalEvent, r.code = l.Event, l.Get("code")
	}
}

func (a *Audit) add(id string, r *requestState, starts []time.Time) {
	a.Requests++
	switch {
	case r.finalEvent == "answered":
		a.Answered++
	case r.finalEvent != "":
		a.Reasons[r.finalEvent+" "+cmp.Or(r.code, "-")]++
	case slices.ContainsFunc(starts, r.lastSeen.Before):
		a.Interrupted = append(a.Interrupted, id)
	default:
		a.Unexplained = append(a.Unexplained, id)
	}
}

// maxListedRequests is how many unexplained requests WriteText lists.
const maxListedRequests = 10

// WriteText writes the audit as a table, with the reasons sorted by descending count.
func (a Audit) WriteText(w io.Writer) error {
	reasons := make([]string, 0, len(a.Reasons))
	for r := range a.Reasons {
		reasons = append(reasons, r)
	}
	slices.SortFunc(reasons, func(x, y string) int {
		return cmp.Or(a.Reasons[y]-a.Reasons[x], cmp.Compare(x, y))
	})
	text := fmt.Sprintf("requests     %6d\nanswered     %6d\n", a.Requests, a.Answered)
	for _, r := range reasons {
		text += fmt.Sprintf("%-24s %6d\n", r, a.Reasons[r])
	}
	text += fmt.Sprintf("instance ended %4d\nunexplained  %6d\nlines left out %4d\n", len(a.Interrupted), len(a.Unexplained), a.DroppedLines)
	for _, id := range a.Unexplained[:min(maxListedRequests, len(a.Unexplained))] {
		text += "unexplained request " + id + "\n"
	}
	_, err := io.WriteString(w, text)
	return err
}
