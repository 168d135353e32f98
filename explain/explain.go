package explain

import (
	"cmp"
	"slices"
	"time"
)

// before is how long before a request what its instance had lost or changed may bear
// on it.
const before = 15 * time.Second

// beliefs are the events that change what an instance goes by.
var beliefs = []string{
	"start", "stopping", "dependency lost", "dependency regained", "configuration", "configuration unreadable", "quota",
	"leader", "lease", "term", "note", "charge", "limit named", "limit share", "fetch", "absent", "backend server leaving", "backend server expired", "backend server gone", "history gone", "engine state",
}

// Story is one request's way.
type Story struct {
	Request []Line
	// Beliefs are what the instances that carried it had learned shortly before.
	Beliefs []Line
}

// Find picks the lines that tell one request's way.
func Find(lines []Line, id string) Story {
	var s Story
	instances := map[string]bool{}
	for _, l := range lines {
		if l.Request == id {
			s.Request = append(s.Request, l)
			instances[l.Instance] = true
		}
	}
	if len(s.Request) == 0 {
		return s
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(s.Request, byTime)
	last := s.Request[len(s.Request)-1].At
	for _, l := range lines {
		if instances[l.Instance] && slices.Contains(beliefs, l.Event) && !l.At.After(last) && last.Sub(l.At) <= before {
			s.Beliefs = append(s.Beliefs, l)
		}
	}
	slices.SortStableFunc(s.Beliefs, byTime)
	return s
}

// Ending returns the line with which the request ended; false if none was kept.
func (s Story) Ending() (Line, bool) {
	i := slices.IndexFunc(s.Request, func(l Line) bool {
		return l.Event == "answered" || l.Event == "refused" || l.Event == "broken off"
	})
	if i < 0 {
		return Line{}, false
	}
	return s.Request[i], true
}

// Cause says in one sentence why the request ended as it did.
func (s Story) Cause() string {
	end, ok := s.Ending()
	if !ok {
		return "its ending was not logged: was it left out (event=\"log lines left out\"), or did the instance end?"
	}
	code := cmp.Or(end.Get("code"), "-")
	return end.Event + ", status " + end.Get("status") + ", code " + code + ", " + advice(end)
}

// advice names what the code means for whoever is on call.
func advice(end Line) string {
	switch end.Get("code") {
	case "":
		return "the backend server's own answer was passed on"
	case "RateExceeded":
		return "the organisation was over its quota, or no lender answered: look for 'dependency lost' with a peer, and at the quota lines"
	case "Configuration", "NoConfiguration":
		return "this instance had no fresh configuration: look for 'dependency lost' with a topic, and at the age"
	case "NoBackendServer":
		return "no backend server held the model or was left to try: look at 'need', 'order' and 'backend server gone'"
	case "Overloaded":
		return "the backend servers had no room in its time: look at foretold, candidates and 'limit'"
	case "BackendServer", "AnswerCut":
		return "the backend server failed after it had the request: look at the server of the last 'route' line"
	case "Timeout":
		return "its time ran out at the server of the last 'route' line"
	case "CallerLeft":
		return "the caller closed its connection"
	case "KeyUnknown", "KeyMissing":
		return "its key is in no contract of the version"
	case "Stopping":
		return "this instance was about to end"
	}
	return end.Get("cause")
}
