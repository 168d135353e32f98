package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against the refusal of requests that failed repeatedly at one faulty server.
func TestCrashesOfOneServerCountOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var announced []Crash
	p := NewPoisonTracker(func(c Crash) { announced = append(announced, c) })
	for range 5 {
		is.True(p.RecordCrash(now, Crash{"d", "s1@1"}))
		p.RecordRemoteCrash(now, Crash{"d", "s1@1"})
	}
	is.Equal(len(announced), 1)
	is.NoErr(p.Allow(now, "d"))
	is.True(!p.RecordCrash(now, Crash{"d", "s1@2"}))
	is.True(p.Allow(now, "d") != nil)
}
