package measure

import (
	"time"

	"galenastair"
	"galenastair/place"
)

// site is the size of one deployment.
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
	// rateShares are the shares of the organisations in the total contracted rate.
	rateShares []float64
	meanPrompt float64
	meanOutput float64
	// capacity is the steady load, in requests per second, at which 95 % of the calls
	// still meet the goals under our policy.
	capacity float64
}

// sites are the deployment sizes to measure. A model takes 10 to 16 units of memory and
// an engine has 54, so that the engines have room for all models and adapters about 1.6
// times.
var sites = []site{
	{
		name: "four-zones", zones: 4, engines: 9, entries: 6, models: 20, adaptersPerModel: 2,
		memory: 54, loadsInFlight: 2, adaptersInFlight: 15,
		rateShares: []float64{0.4, 0.3, 0.2, 0.07, 0.03}, meanPrompt: 400, meanOutput: 120, capacity: 51,
	},
	{
		name: "three-zones", zones: 3, engines: 9, entries: 9, models: 20, adaptersPerModel: 2,
		memory: 54, loadsInFlight: 3, adaptersInFlight: 25,
		rateShares: []float64{0.35, 0.3, 0.25, 0.05, 0.05}, meanPrompt: 700, meanOutput: 80, capacity: 63,
	},
}

// Parameters of the simulation. The duration of an engine's step is the sum of a fixed
// time for each model in the batch, a shorter one for each sequence, and a time for each
// prompt token prefilled.
const (
	stepTimePerModel       = 7 * time.Millisecond
	stepTimePerSequence    = 400 * time.Microsecond
	stepTimePerPromptToken = 80 * time.Microsecond
	promptChunkTokens      = 256
	batchSize              = 32
	cacheBlocks            = 2000
	blockTokens            = 64
	modelLoadTime          = 2 * time.Second
	adapterLoadTime        = 40 * time.Millisecond
	reportPeriod           = time.Second
	reportLag              = time.Second
	cacheEventLag          = 2 * time.Second
	cacheEventLoss         = 0.2
	serverListLag          = 3 * time.Second
	demandPeriod           = 5 * time.Second
	planPeriod             = 250 * time.Millisecond
	warmUp                 = 60 * time.Second
	firstTokenGoal         = 1800 * time.Millisecond
	interTokenGoal         = 64 * time.Millisecond
	requestTimeout         = 10 * time.Second
	// overbookingFactor is the ratio of the total contracted rate to the capacity.
	overbookingFactor = 1.3
	// burstSeconds is the permitted burst, in seconds of the contracted rate.
	burstSeconds = 20
)

func (s site) placementSettings() place.Settings {
	p := place.DefaultSettings()
	p.LoadsInFlight = s.loadsInFlight
	p.AdaptersInFlight = s.adaptersInFlight
	p.ServerCapacity = s.capacity / float64(s.engines) * s.meanWork()
	return p
}

// maxTokensRatio is the ratio of the output tokens that a caller permits (max_tokens) to
// those that the response has.
const maxTokensRatio = 1.6

// meanWork returns the work of an average request, in the units of package dispatch.
func (s site) meanWork() float64 { return 0.1*s.meanPrompt + maxTokensRatio*s.meanOutput }

// meanCharge returns the tokens charged for an average request.
func (s site) meanCharge() float64 { return s.meanPrompt + maxTokensRatio*s.meanOutput }
