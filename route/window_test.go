package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// An entry is sent 1,000 short requests a second for one engine that could batch
// them all. Its window opened by one slot for each report, one in 2 s, so most
// requests waited 250 ms and one in eight was refused beside an idle engine.
// Seen failing without firstToken: the window was 4 after a second.
func TestWindowOpensWithAnswersBetweenReports(t *testing.T) {
	is := is.New(t)
	w := window{limit: firstWindow}
	for range 10 { // ten rounds of answers of 100 ms, each answer followed by a request
		for range w.size() {
			w.note(w.size())
			w.firstToken(20*time.Millisecond, 60*time.Millisecond, 5*time.Millisecond)
		}
	}
	is.True(w.size() >= 40)
}

// The same engine is full: its first tokens come late, or its tokens come at the
// rate that callers are just promised. The window stays as reports left it.
func TestWindowStaysWhenTheEngineIsFull(t *testing.T) {
	is := is.New(t)
	w := window{limit: 20}
	w.follow(galenastair.EngineReport{Running: 20, Waiting: 30})
	is.Equal(w.size(), 16)
	for range 100 {
		w.note(w.size())
		w.firstToken(500*time.Millisecond, 60*time.Millisecond, 5*time.Millisecond)
		w.note(w.size())
		w.firstToken(20*time.Millisecond, 60*time.Millisecond, 57*time.Millisecond)
	}
	is.Equal(w.size(), 16)
	// once it is quick again the window grows by a slot in the time of an answer
	for range 18 {
		w.note(w.size())
		w.firstToken(20*time.Millisecond, 60*time.Millisecond, 20*time.Millisecond)
	}
	is.Equal(w.size(), 16+1)
}
