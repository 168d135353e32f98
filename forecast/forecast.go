package forecast

import (
	"math"
	"time"

	"galenastair"
)

const (
	// levelTimeConstant smooths the bursts of single callers. Moving a model takes tens of
	// seconds to pay off, so that shorter bursts must not move one.
	levelTimeConstant = 30 * time.Second
	// trendTimeConstant smooths the trend. Demand that grows tenfold in an hour doubles in 18
	// minutes and grows by 12 % in three minutes, which is enough to tell it from noise.
	trendTimeConstant = 3 * time.Minute
	// forecastHorizon is how far ahead demand is predicted. It covers the wait of a model load at
	// the weight store and the seconds until the routers know the new copy.
	forecastHorizon = time.Minute
	// maxGrowth bounds the ratio of the prediction to the level, and its reciprocal. Without
	// it, the first seconds of a burst would predict far too much. Doubling within the horizon
	// is far above the tenfold growth in an hour that the trend has to follow.
	maxGrowth = 2.0
)

// Forecast estimates the level and the trend of the demand for each model.
type Forecast struct {
	models            map[galenastair.ModelName]*series
	lastUpdate        time.Time
	levelTimeConstant time.Duration
	horizon           time.Duration
}

// Option configures a Forecast.
type Option func(*Forecast)

// WithTimeConstant sets the time constant of the level and turns off the trend in predictions. It
// is for placement that pays off within seconds.
func WithTimeConstant(d time.Duration) Option {
	return func(f *Forecast) { f.levelTimeConstant, f.horizon = d, 0 }
}

type series struct {
	observed float64
	level    float64
	trend    float64
	updates  int
}

// New returns a forecast without observations.
func New(opts ...Option) *Forecast {
	f := &Forecast{models: map[galenastair.ModelName]*series{}, levelTimeConstant: levelTimeConstant, horizon: forecastHorizon}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Observe adds requested work to the current period.
func (f *Forecast) Observe(m galenastair.ModelName, work float64) {
	s := f.models[m]
	if s == nil {
		s = &series{}
		f.models[m] = s
	}
	s.observed += work
}

// EndPeriod ends a period: the work observed since the last call becomes the period's rate.
func (f *Forecast) EndPeriod(now time.Time) {
	period := now.Sub(f.lastUpdate)
	first := f.lastUpdate.IsZero()
	f.lastUpdate = now
	if first || period <= 0 {
		return
	}
	for m, s := range f.models {
		s.update(period, f.levelTimeConstant)
		if s.level < 1e-6 && s.observed == 0 {
			delete(f.models, m)
		}
	}
}

// update applies Holt's linear exponential smoothing to a period of any length.
func (s *series) update(period, timeConstant time.Duration) {
	rate := s.observed / period.Seconds()
	s.observed = 0
	s.updates++
	// The first samples have the weights of a plain mean. Otherwise it would take the time
	// constant to see the demand after a cold start.
	alpha := max(1-math.Exp(-float64(period)/float64(timeConstant)), 1/float64(s.updates))
	beta := 1 - math.Exp(-float64(period)/float64(trendTimeConstant))
	previous := s.level
	s.level += s.trend*period.Seconds()*(1-alpha) + alpha*(rate-s.level)
	s.level = max(0, s.level)
	if float64(s.updates)*float64(period) < float64(timeConstant) {
		return
	}
	s.trend += beta * ((s.level-previous)/period.Seconds() - s.trend)
}

// Predict returns the predicted work per second for a model.
func (f *Forecast) Predict(m galenastair.ModelName) float64 {
	s := f.models[m]
	if s == nil {
		return 0
	}
	predicted := s.level + s.trend*f.horizon.Seconds()
	return min(max(predicted, s.level/maxGrowth), s.level*maxGrowth)
}
