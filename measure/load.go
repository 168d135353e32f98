package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"galenastair"
)

// call is one request of a caller and its result.
type call struct {
	arrived      time.Time
	organisation int
	model        galenastair.ModelName
	prompt       int
	output       int
	maxTokens    int
	prefix       []uint64
	withinRate   bool
	attempts     int

	firstToken time.Time
	finished   time.Time
	refused    bool
	entry      int
}

// meetsGoals reports whether the call finished within firstTokenGoal and interTokenGoal.
func (c *call) meetsGoals() bool {
	if c.finished.IsZero() || c.firstToken.Sub(c.arrived) > firstTokenGoal {
		return false
	}
	return c.output < 2 || c.finished.Sub(c.firstToken)/time.Duration(c.output-1) <= interTokenGoal
}

// loadGenerator generates the calls of a scenario; the same seed gives the same calls.
type loadGenerator struct {
	site     site
	scenario scenario
	rng      *rand.Rand
	// modelShares are the shares of the models in the demand of each organisation,
	// before the scenario scales them.
	modelShares [][]float64
	buckets     []float64
	refilledAt  time.Duration
}

func newLoadGenerator(s site, sc scenario, seed uint64) *loadGenerator {
	l := &loadGenerator{site: s, scenario: sc, rng: rand.New(rand.NewPCG(seed, 7))}
	for range s.rateShares {
		ws := make([]float64, s.models)
		sum := 0.0
		for i, rank := range l.rng.Perm(s.models) {
			ws[i] = math.Pow(float64(rank+1), -0.7)
			sum += ws[i]
		}
		for i := range ws {
			ws[i] /= sum
		}
		l.modelShares = append(l.modelShares, ws)
		l.buckets = append(l.buckets, 0)
	}
	for o := range l.buckets {
		l.buckets[o] = l.rate(o) * burstSeconds
	}
	return l
}

// rate returns the contracted rate of an organisation in tokens per second.
func (l *loadGenerator) rate(o int) float64 {
	return l.site.rateShares[o] * overbookingFactor * l.site.capacity * l.site.meanCharge()
}

// next returns the calls that arrive within one tick.
func (l *loadGenerator) next(begin time.Time, at, tick time.Duration) []*call {
	l.refill(at)
	var out []*call
	scale, total := l.demands(at)
	mean := total * l.site.capacity * l.scenario.load * tick.Seconds()
	for range poisson(l.rng, mean) {
		c := l.drawCall(scale, total)
		c.arrived = begin.Add(at + time.Duration(l.rng.Float64()*float64(tick)))
		c.withinRate = l.allow(c)
		out = append(out, c)
	}
	return out
}

// demands returns the demand of each organisation for each model, as a share of the
// load, and the sum of all demands.
func (l *loadGenerator) demands(at time.Duration) ([][]float64, float64) {
	out := make([][]float64, len(l.site.rateShares))
	total := 0.0
	for o, share := range l.site.rateShares {
		out[o] = make([]float64, l.site.models)
		sum := 0.0
		for m := range out[o] {
			out[o][m] = l.modelShares[o][m]
			if l.scenario.modelDemand != nil {
				out[o][m] *= l.scenario.modelDemand(at, o, m)
			}
			sum += out[o][m]
		}
		part := share
		if l.scenario.organisationDemand != nil {
			part *= l.scenario.organisationDemand(at, o)
		}
		for m := range out[o] {
			// Skew shifts demand between models; the organisation's total is unchanged.
			out[o][m] *= part / sum
			total += out[o][m]
		}
	}
	return out, total
}

func (l *loadGenerator) drawCall(scale [][]float64, total float64) *call {
	x := l.rng.Float64() * total
	for o := range scale {
		for m := range scale[o] {
			if x -= scale[o][m]; x <= 0 {
				return l.newCall(o, m)
			}
		}
	}
	return l.newCall(0, 0)
}

func (l *loadGenerator) newCall(o, m int) *call {
	c := &call{organisation: o, entry: l.rng.IntN(l.site.entries)}
	c.model = modelName(m)
	if a := l.rng.IntN(l.site.adaptersPerModel + 1); a > 0 {
		c.model = adapterName(m, a-1)
	}
	c.prompt = logNormal(l.rng, l.site.meanPrompt)
	c.output = logNormal(l.rng, l.site.meanOutput)
	if l.rng.Float64() < l.scenario.longShare {
		c.prompt, c.output = 4*c.prompt, 10*c.output
	}
	c.maxTokens = int(float64(c.output) * maxTokensRatio)
	// The first half of a prompt comes from one of three templates of the organisation
	// and model; the rest is unique.
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

func (l *loadGenerator) refill(at time.Duration) {
	passed := (at - l.refilledAt).Seconds()
	l.refilledAt = at
	for o := range l.buckets {
		l.buckets[o] = min(l.buckets[o]+passed*l.rate(o), l.rate(o)*burstSeconds)
	}
}

// allow takes the tokens of a call from its organisation's bucket. It returns false if
// the call exceeds the organisation's rate and burst.
func (l *loadGenerator) allow(c *call) bool {
	cost := float64(c.prompt + c.maxTokens)
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

// logNormal draws a length from a log-normal distribution with the given mean, limited to
// at least 8 and at most six times the mean.
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
