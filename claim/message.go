package claim

import (
	"time"

	"galenastair"
	"galenastair/peer/claimpb"
)

// fromAttempt encodes an attempt. It sends the age instead of the start time, since the clocks
// of instances are not synchronised.
func fromAttempt(a Attempt, now time.Time) *claimpb.Attempt {
	m := &claimpb.Attempt{
		Key:             string(a.Key),
		Sender:          string(a.ID.Sender),
		Request:         string(a.ID.Request),
		Incarnation:     a.Incarnation,
		Digest:          string(a.Digest),
		State:           string(a.State),
		AgeMilliseconds: now.Sub(a.StartedAt).Milliseconds(),
	}
	m.Copies = fromIDs(a.CopyTargets)
	for _, p := range a.ConfirmedCopies {
		m.Kept = append(m.Kept, &claimpb.Process{Id: string(p.ID), Incarnation: p.Incarnation})
	}
	return m
}

func fromIDs(ids []galenastair.InstanceID) []string {
	var out []string
	for _, id := range ids {
		out = append(out, string(id))
	}
	return out
}

func toIDs(ids []string) []galenastair.InstanceID {
	var out []galenastair.InstanceID
	for _, id := range ids {
		out = append(out, galenastair.InstanceID(id))
	}
	return out
}

func toAttempt(m *claimpb.Attempt, now time.Time) Attempt {
	if m == nil {
		return Attempt{}
	}
	a := Attempt{
		Key:         Key(m.Key),
		ID:          AttemptID{galenastair.InstanceID(m.Sender), galenastair.RequestID(m.Request)},
		Incarnation: m.Incarnation,
		Digest:      Digest(m.Digest),
		State:       toState(m.State),
		StartedAt:   now.Add(-time.Duration(m.AgeMilliseconds) * time.Millisecond),
		CopyTargets: toIDs(m.Copies),
	}
	for _, p := range m.Kept {
		a.ConfirmedCopies = append(a.ConfirmedCopies, Process{galenastair.InstanceID(p.Id), p.Incarnation})
	}
	return a
}

// toState decodes a state. An unrecognised state becomes Unknown, since the request may have run.
func toState(s string) galenastair.Outcome {
	switch o := galenastair.Outcome(s); o {
	case Open, galenastair.OutcomeNotRun, galenastair.OutcomeRan:
		return o
	default:
		return galenastair.OutcomeUnknown
	}
}

func fromAttempts(list []Attempt, now time.Time) []*claimpb.Attempt {
	out := make([]*claimpb.Attempt, 0, len(list))
	for _, a := range list {
		out = append(out, fromAttempt(a, now))
	}
	return out
}

func toAttempts(list []*claimpb.Attempt, now time.Time) []Attempt {
	out := make([]Attempt, 0, len(list))
	for _, m := range list {
		out = append(out, toAttempt(m, now))
	}
	return out
}
