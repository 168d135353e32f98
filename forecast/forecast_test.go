package forecast

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Demand for a model grows tenfold within an hour; a copy ordered when the demand
// is there comes a minute late for all its callers. Seen failing without the trend.
func TestLooksAheadOnTenfoldWithinAnHour(t *testing.T) {
	is := is.New(t)
	f := New()
	now := time.Unix(1000, 0)
	rate := func(at time.Duration) float64 { return 100 * math.Pow(10, at.Hours()) }
	for at := time.Duration(0); at < time.Hour; at += 5 * time.Second {
		f.Observe("m", 5*rate(at))
		f.Step(now.Add(at + 5*time.Second))
	}
	is.True(f.Work("m") > rate(time.Hour))             // ahead of the demand
	is.True(f.Work("m") < 1.2*rate(time.Hour+horizon)) // and not far off
}

// A burst of five seconds in an hour of calm moves no model, and what is over is
// forgotten. Seen failing with levelMemory at a second.
func TestShortBurstsCountLittle(t *testing.T) {
	is := is.New(t)
	f := New()
	now := time.Unix(1000, 0)
	for i := range 200 {
		work := 500.0
		if i == 199 {
			work = 5000
		}
		now = now.Add(5 * time.Second)
		f.Observe("m", work)
		f.Step(now)
	}
	is.True(f.Work("m") < 350)
	for range 3000 {
		now = now.Add(5 * time.Second)
		f.Step(now)
	}
	is.Equal(len(f.models), 0)
}
