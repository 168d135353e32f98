package place

import (
	"context"
	"time"

	"galenastair"
)

// surveyAtOnce bounds the engines that a new leader asks at one time: 270 in a
// region are asked within a few seconds, and a frozen one holds up no other.
const surveyAtOnce = 16

// survey is what a leader knows from engines themselves since it leads.
type survey struct {
	asked map[galenastair.BackendServerID]time.Time
	known map[galenastair.BackendServerID]bool
	under int
}

func newSurvey() survey {
	return survey{asked: map[galenastair.BackendServerID]time.Time{}, known: map[galenastair.BackendServerID]bool{}}
}

// due returns whom to ask now: each engine once, and one that did not answer again
// after a rest.
func (s *survey) due(now time.Time, ids []galenastair.BackendServerID) []galenastair.BackendServerID {
	var out []galenastair.BackendServerID
	for _, id := range ids {
		if s.known[id] || s.under+len(out) >= surveyAtOnce || now.Sub(s.asked[id]) < failureRest {
			continue
		}
		out = append(out, id)
	}
	return out
}

// surveyEngines asks each engine itself once this instance leads.
//
// Failure: a leader dies, and then an engine. The successor has folded the orders
// that loaded the engine's models, settled by the one before; until it has asked
// the engine itself they may still take effect, and it took each for a load on its
// way. It showed as models without any copy for 10 s after a change of leader, and
// for as long again when the log went down meanwhile. The answer to a question
// asked after a settlement shows all that the order did.
func (l *Leader) surveyEngines(ctx context.Context, now time.Time) {
	for _, id := range l.survey.due(now, l.known()) {
		l.survey.asked[id] = now
		l.survey.under++
		fence := l.fence
		l.tasks.Go(func() {
			_, err := l.ask(ctx, id)
			_ = l.loop.Post(context.WithoutCancel(ctx), func() { l.surveyed(id, fence, err) })
		})
	}
}

func (l *Leader) surveyed(id galenastair.BackendServerID, fence galenastair.Fence, err error) {
	if fence != l.fence {
		return // of an earlier survey, which counted its own
	}
	l.survey.under--
	l.survey.known[id] = err == nil
}
