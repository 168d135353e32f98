package forecast

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Demand for a model grows tenfold within an hour. Without the trend, the forecast lags behind
// the demand, and a copy would be loaded a minute too late for all callers.
func TestPredictsTenfoldGrowthWithinAnHour(t *testing.T) {
	is := is.New(t)
	f := New()
	now := time.Unix(1000, 0)
	rate := func(at time.Duration) float64 { return 100 * math.Pow(10, at.Hours()) }
	for at := time.Duration(0); at < time.Hour; at += 5 * time.Second {
		f.Observe("m", 5*rate(at))
		f.EndPeriod(now.Add(at + 5*time.Second))
	}
	is.True(f.Predict("m") > rate(time.Hour))                     // not behind the demand
	is.True(f.Predict("m") < 1.2*rate(time.Hour+forecastHorizon)) // and not far above it
}

// A burst of five seconds during steady demand must not move a model, as it would with a
// levelTimeConstant of one second. A model without demand must be removed.
func TestShortBurstsHaveLittleEffect(t *testing.T) {
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
		f.EndPeriod(now)
	}
	is.True(f.Predict("m") < 350)
	for range 3000 {
		now = now.Add(5 * time.Second)
		f.EndPeriod(now)
	}
	is.Equal(len(f.models), 0)
}
