package explain

import (
	"cmp"
	"slices"
	"time"
)

// stateWindow is how long before a request's last log line a state change of its instance
// still counts as relevant to it.
const stateWindow = 15 * time.Second

// stateEvents are the events that log a change of the state on which an instance bases its
// decisions about requests.
var stateEvents = []string{
	"start", "stopping", "dependency lost", "dependency regained", "configuration", "configuration unreadable", "quota", "evacuation",
	"leader", "lease", "term", "note", "charge", "limit named", "limit share", "fetch", "absent", "backend server leaving", "backend server expired", "backend server gone", "history gone", "engine state",
}

// Trace holds the log lines about one request.
type Trace struct {
	Request []Line
	// StateChanges are the state changes that the instances that handled the request
	// logged in the stateWindow before its last line.
	StateChanges []Line
}

// NewTrace selects the lines about the request with the given ID. Without a line that names
// the request, the trace is empty.
func NewTrace(lines []Line, id string) Trace {
	var t Trace
	instances := map[string]bool{}
	for _, l := range lines {
		if l.Request == id {
			t.Request = append(t.Request, l)
			instances[l.Instance] = true
		}
	}
	if len(t.Request) == 0 {
		return t
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(t.Request, byTime)
	last := t.Request[len(t.Request)-1].At
	for _, l := range lines {
		if instances[l.Instance] && slices.Contains(stateEvents, l.Event) && !l.At.After(last) && last.Sub(l.At) <= stateWindow {
			t.StateChanges = append(t.StateChanges, l)
		}
	}
	slices.SortStableFunc(t.StateChanges, byTime)
	return t
}

// FinalLine returns the line that logs the end of the request, or false if there is none.
func (t Trace) FinalLine() (Line, bool) {
	i := slices.IndexFunc(t.Request, func(l Line) bool {
		return l.Event == "answered" || l.Event == "refused" || l.Event == "broken off"
	})
	if i < 0 {
		return Line{}, false
	}
	return t.Request[i], true
}

// Cause returns one sentence on why the request ended as it did.
func (t Trace) Cause() string {
	final, ok := t.FinalLine()
	if !ok {
		return "its end was not logged: the line was dropped (event=\"log lines left out\"), or the instance stopped before"
	}
	code := cmp.Or(final.Get("code"), "-")
	return final.Event + ", status " + final.Get("status") + ", code " + code + ", " + hint(final)
}

// hint returns what the refusal code of a final line means, and which log lines to look at
// next. For a code that it does not know, it returns the cause that the line gives.
func hint(final Line) string {
	switch final.Get("code") {
	case "":
		return "the backend server's own answer was forwarded"
	case "RateExceeded":
		return "the organisation exceeded its quota, or the lender did not answer: look for 'dependency lost' with a peer, and at the quota lines"
	case "Configuration", "NoConfiguration":
		return "the instance had no up-to-date configuration: look for 'dependency lost' with a topic, and at the age"
	case "NoBackendServer":
		return "no backend server had the model loaded, or all had been tried: look at 'need', 'order' and 'backend server gone'"
	case "Overloaded":
		return "no backend server had capacity within the request's time-out: look at foretold, candidates and 'limit'"
	case "BackendServer", "AnswerCut":
		return "the backend server failed after it had received the request: look at the server of the last 'route' line"
	case "Timeout":
		return "the request timed out at the server of the last 'route' line"
	case "CallerLeft":
		return "the caller closed its connection"
	case "KeyUnknown", "KeyMissing":
		return "no contract of the configuration version contains the key"
	case "Stopping":
		return "the instance was shutting down"
	}
	return final.Get("cause")
}
