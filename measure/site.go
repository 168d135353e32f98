package measure

import (
	"time"

	"galenastair"
	"galenastair/place"
)

// site is one of today's sizes.
type site struct {
	name             string
	zones            int
	engines          int
	entries          int
	models           int
	adaptersPerModel int
	memory           galenastair.Bytes
	loadsInFlight    int
	adaptersInFlight int
	// shares are the organisations' parts of the contracted rate.
	shares []float64
	prompt float64
	output float64
	// capacity is the steady load, in requests a second, at which 95 in 100 calls of
	// our policy still attain.
	capacity float64
}

// sites are the sizes of the brief. Model memory of 10 to 16 against 54 an engine
// makes room for all models with their adapters some 1.6 times.
var sites = []site{
	{
		name: "four-zones", zones: 4, engines: 9, entries: 6, models: 20, adaptersPerModel: 2,
		memory: 54, loadsInFlight: 2, adaptersInFlight: 15,
		shares: []float64{0.4, 0.3, 0.2, 0.07, 0.03}, prompt: 400, output: 120, capacity: 51,
	},
	{
		name: "three-zones", zones: 3, engines: 9, entries: 9, models: 20, adaptersPerModel: 2,
		memory: 54, loadsInFlight: 3, adaptersInFlight: 25,
		shares: []float64{0.35, 0.3, 0.25, 0.05, 0.05}, prompt: 700, output: 80, capacity: 63,
	},
}

// The cost model of an engine: a step costs a fixed time for each model in the
// batch, a little for each sequence, and what it reads of prompts.
const (
	stepPerModel    = 7 * time.Millisecond
	stepPerSequence = 400 * time.Microsecond
	stepPerPrompt   = 80 * time.Microsecond
	promptChunk     = 256
	batchSize       = 32
	cacheBlocks     = 2000
	blockTokens     = 64
	loadTime        = 2 * time.Second
	adapterTime     = 40 * time.Millisecond
	reportPeriod    = time.Second
	reportLag       = time.Second
	eventLag        = 2 * time.Second
	eventLoss       = 0.2
	listLag         = 3 * time.Second
	demandPeriod    = 5 * time.Second
	planPeriod      = 250 * time.Millisecond
	warmUp          = 60 * time.Second
	firstTokenGoal  = 1800 * time.Millisecond
	gapGoal         = 64 * time.Millisecond
	patience        = 10 * time.Second
	// booked is how much more rate is contracted than the accelerators can serve.
	booked = 1.3
	// burstSeconds of the rate may be used at once.
	burstSeconds = 20
)

func (s site) settings() place.Settings {
	p := place.DefaultSettings()
	p.LoadsInFlight = s.loadsInFlight
	p.AdaptersInFlight = s.adaptersInFlight
	p.ServerCapacity = s.capacity / float64(s.engines) * s.work()
	return p
}

// permitted is how many tokens a caller lets an answer have, against what it has.
const permitted = 1.6

// work is the work of a mean request, as dispatch counts it.
func (s site) work() float64 { return 0.1*s.prompt + permitted*s.output }

// tokens is what a mean request is charged.
func (s site) tokens() float64 { return s.prompt + permitted*s.output }
