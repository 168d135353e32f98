package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"galenastair"
)

// call is one request of a caller and what became of it.
type call struct {
	arrived      time.Time
	organisation int
	model        galenastair.ModelName
	prompt       int
	output       int
	permitted    int
	prefix       []uint64
	within       bool
	attempts     int

	firstToken time.Time
	finished   time.Time
	refused    bool
	entry      int
}

// good says whether the caller got what it was promised.
func (c *call) good() bool {
	if c.finished.IsZero() || c.firstToken.Sub(c.arrived) > firstTokenGoal {
		return false
	}
	return c.output < 2 || c.finished.Sub(c.firstToken)/time.Duration(c.output-1) <= gapGoal
}

// loads draws the calls of a scenario; equal seeds give equal calls.
type loads struct {
	site     site
	scenario scenario
	rng      *rand.Rand
	// weight is each organisation's base demand for each model.
	weight  [][]float64
	buckets []float64
	filled  time.Duration
}

func newLoads(s site, sc scenario, seed uint64) *loads {
	l := &loads{site: s, scenario: sc, rng: rand.New(rand.NewPCG(seed, 7))}
	for range s.shares {
		ws := make([]float64, s.models)
		sum := 0.0
		for i, rank := range l.rng.Perm(s.models) {
			ws[i] = math.Pow(float64(rank+1), -0.7)
			sum += ws[i]
		}
		for i := range ws {
			ws[i] /= sum
		}
		l.weight = append(l.weight, ws)
		l.buckets = append(l.buckets, 0)
	}
	for o := range l.buckets {
		l.buckets[o] = l.rate(o) * burstSeconds
	}
	return l
}

// rate is an organisation's contract rate in tokens a second.
func (l *loads) rate(o int) float64 {
	return l.site.shares[o] * booked * l.site.capacity * l.site.tokens()
}

// next draws the calls of one tick of the driver.
func (l *loads) next(begin time.Time, at, tick time.Duration) []*call {
	l.refill(at)
	var out []*call
	scale, total := l.demands(at)
	mean := total * l.site.capacity * l.scenario.load * tick.Seconds()
	for range poisson(l.rng, mean) {
		c := l.draw(scale, total)
		c.arrived = begin.Add(at + time.Duration(l.rng.Float64()*float64(tick)))
		c.within = l.charge(c)
		out = append(out, c)
	}
	return out
}

// demands returns each organisation's demand for each model, as a part of the load.
func (l *loads) demands(at time.Duration) ([][]float64, float64) {
	out := make([][]float64, len(l.site.shares))
	total := 0.0
	for o, share := range l.site.shares {
		out[o] = make([]float64, l.site.models)
		sum := 0.0
		for m := range out[o] {
			out[o][m] = l.weight[o][m]
			if l.scenario.demand != nil {
				out[o][m] *= l.scenario.demand(at, o, m)
			}
			sum += out[o][m]
		}
		part := share
		if l.scenario.organisation != nil {
			part *= l.scenario.organisation(at, o)
		}
		for m := range out[o] {
			// skew moves demand between models; the organisation's sum stays
			out[o][m] *= part / sum
			total += out[o][m]
		}
	}
	return out, total
}

func (l *loads) draw(scale [][]float64, total float64) *call {
	x := l.rng.Float64() * total
	for o := range scale {
		for m := range scale[o] {
			if x -= scale[o][m]; x <= 0 {
				return l.call(o, m)
			}
		}
	}
	return l.call(0, 0)
}

func (l *loads) call(o, m int) *call {
	c := &call{organisation: o, entry: l.rng.IntN(l.site.entries)}
	c.model = modelName(m)
	if a := l.rng.IntN(l.site.adaptersPerModel + 1); a > 0 {
		c.model = adapterName(m, a-1)
	}
	c.prompt = logNormal(l.rng, l.site.prompt)
	c.output = logNormal(l.rng, l.site.output)
	if l.rng.Float64() < l.scenario.long {
		c.prompt, c.output = 4*c.prompt, 10*c.output
	}
	c.permitted = int(float64(c.output) * permitted)
	// three templates for each organisation and model, then text of its own
	template := uint64(o*1000+m*10+l.rng.IntN(3)) << 20
	blocks := min(32, c.prompt/blockTokens)
	for i := range blocks {
		h := template + uint64(i)
		if i >= blocks/2 {
			h = l.rng.Uint64()
		}
		c.prefix = append(c.prefix, h)
	}
	return c
}

func (l *loads) refill(at time.Duration) {
	passed := (at - l.filled).Seconds()
	l.filled = at
	for o := range l.buckets {
		l.buckets[o] = min(l.buckets[o]+passed*l.rate(o), l.rate(o)*burstSeconds)
	}
}

// charge says whether a call is within its organisation's rate and burst.
func (l *loads) charge(c *call) bool {
	cost := float64(c.prompt + c.permitted)
	if l.buckets[c.organisation] < cost {
		return false
	}
	l.buckets[c.organisation] -= cost
	return true
}

func modelName(m int) galenastair.ModelName {
	return galenastair.ModelName(fmt.Sprintf("m%02d", m))
}

func adapterName(m, a int) galenastair.ModelName {
	return galenastair.ModelName(fmt.Sprintf("m%02d-a%d", m, a))
}

// logNormal draws a length with the given mean and a heavy tail, cut at six times it.
func logNormal(rng *rand.Rand, mean float64) int {
	const sigma = 0.6
	x := mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
	return int(min(max(8, x), 6*mean))
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p, bound := 0, rng.Float64(), math.Exp(-mean)
	for p > bound {
		n++
		p *= rng.Float64()
	}
	return n
}
