package forecast

import (
	"math"
	"time"

	"galenastair"
)

const (
	// levelMemory smooths the bursts of single callers: placement takes tens of
	// seconds to pay off, so shorter bursts must not move models.
	levelMemory = 30 * time.Second
	// trendMemory is how far the growth looks back. Tenfold in an hour doubles in
	// 18 minutes; three minutes of it are 12 %, enough to tell from noise.
	trendMemory = 3 * time.Minute
	// horizon is how far ahead placement asks: a load waits for its turn at the
	// weight store and the routers learn of the copy some seconds later.
	horizon = time.Minute
	// mostGrowth bounds what the trend may add, so that the first seconds of a
	// burst do not foretell a flood: e-fold within the horizon is far above
	// tenfold within an hour.
	mostGrowth = 2.0
)

// Forecast keeps the level and the trend of the demand for each model.
type Forecast struct {
	models  map[galenastair.ModelName]*demand
	last    time.Time
	memory  time.Duration
	horizon time.Duration
}

// Option varies a Forecast.
type Option func(*Forecast)

// WithMemory replaces how long single bursts are smoothed over; nothing is foretold
// beyond it then. It is for placing that pays off within seconds.
func WithMemory(d time.Duration) Option {
	return func(f *Forecast) { f.memory, f.horizon = d, 0 }
}

type demand struct {
	arrived float64
	level   float64
	trend   float64
	steps   int
}

// New returns a forecast that knows no demand.
func New(opts ...Option) *Forecast {
	f := &Forecast{models: map[galenastair.ModelName]*demand{}, memory: levelMemory, horizon: horizon}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Observe adds work that callers asked for.
func (f *Forecast) Observe(m galenastair.ModelName, work float64) {
	d := f.models[m]
	if d == nil {
		d = &demand{}
		f.models[m] = d
	}
	d.arrived += work
}

// Step ends a period: what was observed since the last one becomes its rate.
func (f *Forecast) Step(now time.Time) {
	period := now.Sub(f.last)
	first := f.last.IsZero()
	f.last = now
	if first || period <= 0 {
		return
	}
	for m, d := range f.models {
		d.step(period, f.memory)
		if d.level < 1e-6 && d.arrived == 0 {
			delete(f.models, m)
		}
	}
}

// step is Holt's linear smoothing with the weights of a period of any length.
func (d *demand) step(period, memory time.Duration) {
	rate := d.arrived / period.Seconds()
	d.arrived = 0
	d.steps++
	// the first samples weigh as in a plain mean, else demand at a cold start
	// would be seen only after the memory
	alpha := max(1-math.Exp(-float64(period)/float64(memory)), 1/float64(d.steps))
	beta := 1 - math.Exp(-float64(period)/float64(trendMemory))
	before := d.level
	d.level += d.trend*period.Seconds()*(1-alpha) + alpha*(rate-d.level)
	d.level = max(0, d.level)
	if float64(d.steps)*float64(period) < float64(memory) {
		return
	}
	d.trend += beta * ((d.level-before)/period.Seconds() - d.trend)
}

// Work returns the work per second foretold for a model.
func (f *Forecast) Work(m galenastair.ModelName) float64 {
	d := f.models[m]
	if d == nil {
		return 0
	}
	ahead := d.level + d.trend*f.horizon.Seconds()
	return min(max(ahead, d.level/mostGrowth), d.level*mostGrowth)
}
