package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// An instance receives 1,000 short requests per second for one engine that could batch them
// all. If only reports, one every 2 s, increase the window, most requests wait 250 ms and one
// in eight is refused while the engine is idle. Fails without applyFirstToken: the window is
// still 4 after a second.
func TestWindowOpensWithAnswersBetweenReports(t *testing.T) {
	is := is.New(t)
	w := window{limit: initialWindow}
	for range 10 { // Ten rounds of responses of 100 ms, each followed by a request.
		for range w.size() {
			w.recordSent(w.size())
			w.applyFirstToken(20*time.Millisecond, 60*time.Millisecond, 5*time.Millisecond)
		}
	}
	is.True(w.size() >= 40)
}

// The same engine is full: its first tokens are late, or the time between tokens is near the
// promised limit. First tokens must not increase the window then.
func TestWindowStaysWhenTheEngineIsFull(t *testing.T) {
	is := is.New(t)
	w := window{limit: 20}
	w.applyReport(galenastair.EngineReport{Running: 20, Waiting: 30})
	is.Equal(w.size(), 16)
	for range 100 {
		w.recordSent(w.size())
		w.applyFirstToken(500*time.Millisecond, 60*time.Millisecond, 5*time.Millisecond)
		w.recordSent(w.size())
		w.applyFirstToken(20*time.Millisecond, 60*time.Millisecond, 57*time.Millisecond)
	}
	is.Equal(w.size(), 16)
	// Once the engine is fast again, the window grows by one slot within a response time.
	for range 18 {
		w.recordSent(w.size())
		w.applyFirstToken(20*time.Millisecond, 60*time.Millisecond, 20*time.Millisecond)
	}
	is.Equal(w.size(), 16+1)
}
