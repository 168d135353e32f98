package compare

import (
	"math/rand/v2"
	"time"

	"galenastair"
	"galenastair/rate"
)

// scenario is a load and the failures that occur during it.
type scenario struct {
	name     string
	contract rate.Contract
	// skewed sends nine in ten requests to one instance.
	skewed        bool
	instanceFails bool
	logDown       bool
}

const (
	runDuration = 90 * time.Second
	// warmUp lets every bucket fill before the first request, so that all strategies
	// start from the same state.
	warmUp    = 30 * time.Second
	failureAt = 30 * time.Second
	// takeoverDelay is the time from a failure until the instance's shares have been
	// taken over, with the log available.
	takeoverDelay = 6 * time.Second
	// logRecoveryAt is when an unavailable log accepts the record that the failed
	// instance's lease has expired.
	logRecoveryAt = 60 * time.Second
	// utilisation is the fraction of the contract's rate that the requests use after
	// refunds.
	utilisation = 0.8
	// failingInstance holds the first share, and is the owner in the singleOwner
	// strategy.
	failingInstance = 0
)

// usualContract allows a few concurrent requests at each of nine instances, and
// smallContract fewer concurrent requests than there are instances.
var (
	usualContract = rate.Contract{Rate: 6000, Burst: 36_000}
	smallContract = rate.Contract{Rate: 3000, Burst: 6000}
)

func scenarios() []scenario {
	return []scenario{
		{name: "even traffic", contract: usualContract},
		{name: "one hot entry", contract: usualContract, skewed: true},
		{name: "dead holder", contract: usualContract, instanceFails: true},
		{name: "log down", contract: usualContract, logDown: true},
		{name: "dead holder, log down", contract: usualContract, instanceFails: true, logDown: true},
		{name: "small burst", contract: smallContract},
		{name: "small burst, one hot entry", contract: smallContract, skewed: true},
	}
}

// Result is the result of one strategy in one scenario.
type Result struct {
	Requests int
	// WithinRate counts the requests that the global bucket granted, and Refused those
	// of them that the strategy refused.
	WithinRate int
	Refused    int
	// Granted counts all granted requests, including those that the global bucket
	// refused.
	Granted int
	// Messages and Bytes count what the instances sent to each other, with HTTP/1.1.
	Messages int
	Bytes    int
	// LongestOutage is the longest time in which no request within the rate was
	// granted.
	LongestOutage time.Duration
	// Violation is the error of rate.CheckHistory for the merged history.
	Violation error
}

// request is one charge. Every strategy receives the same requests.
type request struct {
	at       time.Duration
	instance int
	charge   galenastair.Tokens
	used     galenastair.Tokens
	duration time.Duration
}

// requests generates arrivals at random times. On average, half of the charged tokens
// are used.
func (s scenario) requests(seed uint64, instances int) []request {
	r := rand.New(rand.NewPCG(seed, seed))
	const meanCharge = 1200
	perSecond := utilisation * float64(s.contract.Rate) / (meanCharge / 2)
	var list []request
	for at := warmUp; ; {
		at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		if at >= warmUp+runDuration {
			return list
		}
		req := request{at: at, instance: r.IntN(instances), charge: galenastair.Tokens(400 + r.IntN(1600))}
		if s.skewed && r.IntN(10) > 0 {
			req.instance = instances - 1
		}
		req.used = req.charge * galenastair.Tokens(r.IntN(101)) / 100
		req.duration = time.Duration(500+r.IntN(2500)) * time.Millisecond
		list = append(list, req)
	}
}

// simulation is one run of one strategy through one scenario.
type simulation struct {
	scenario     scenario
	env          *environment
	strategy     strategy
	globalBucket bucket
	start        time.Time
	nextTick     time.Duration
	settlements  []settlement
	history      []rate.Grant
	result       Result
	outageStart  time.Duration
	instanceDown bool
}

type settlement struct {
	at     time.Duration
	settle func()
}

func simulate(s scenario, seed uint64, instances int, build func(*environment) strategy) Result {
	start := time.Unix(1000, 0)
	sim := &simulation{scenario: s, start: start, outageStart: -1}
	sim.env = &environment{now: start, contract: s.contract, instances: instances, zones: 3}
	sim.strategy = build(sim.env)
	sim.globalBucket = bucket{rate.NewFullBucket(s.contract.TotalLimits(), start), sim.env}
	for _, req := range s.requests(seed, instances) {
		sim.advanceTo(req.at)
		sim.handleRequest(req)
	}
	sim.advanceTo(warmUp + runDuration)
	sim.endOutage(warmUp + runDuration)
	sim.result.Violation = rate.CheckHistory(sim.history, s.contract)
	sim.result.Messages, sim.result.Bytes = sim.strategy.traffic().messages, sim.strategy.traffic().bytesWithHeaders(http1HeaderBytes)
	return sim.result
}

// advanceTo runs everything that is due before a time, ordered by time.
func (sim *simulation) advanceTo(to time.Duration) {
	for {
		i := sim.nextSettlement()
		switch {
		case i >= 0 && sim.settlements[i].at <= min(sim.nextTick, to):
			sim.setTime(sim.settlements[i].at)
			sim.settlements[i].settle()
			sim.settlements = append(sim.settlements[:i], sim.settlements[i+1:]...)
		case sim.nextTick <= to:
			sim.setTime(sim.nextTick)
			sim.injectFailures(sim.nextTick - warmUp)
			sim.strategy.tick()
			sim.nextTick += tickInterval
		default:
			sim.setTime(to)
			return
		}
	}
}

func (sim *simulation) setTime(at time.Duration) { sim.env.now = sim.start.Add(at) }

func (sim *simulation) nextSettlement() int {
	first := -1
	for i, d := range sim.settlements {
		if first < 0 || d.at < sim.settlements[first].at {
			first = i
		}
	}
	return first
}

func (sim *simulation) injectFailures(at time.Duration) {
	if !sim.scenario.instanceFails {
		return
	}
	takeoverAt := failureAt + takeoverDelay
	if sim.scenario.logDown {
		takeoverAt = logRecoveryAt
	}
	switch at {
	case failureAt:
		sim.instanceDown = true
		sim.strategy.fail(failingInstance)
	case takeoverAt:
		sim.strategy.takeOver(failingInstance)
	}
}

func (sim *simulation) handleRequest(req request) {
	if sim.instanceDown && req.instance == failingInstance {
		// the platform's load balancer sends the request to another instance
		req.instance++
	}
	settleGlobal := sim.globalBucket.charge(req.charge)
	settle := sim.strategy.charge(req.instance, req.charge)
	sim.result.Requests++
	if settleGlobal != nil {
		sim.result.WithinRate++
		sim.scheduleSettlement(req, settleGlobal)
	}
	switch {
	case settle != nil:
		sim.endOutage(req.at)
		sim.result.Granted++
		sim.recordGrant(req, settle)
	case settleGlobal != nil:
		sim.result.Refused++
		if sim.outageStart < 0 {
			sim.outageStart = req.at
		}
	}
}

func (sim *simulation) recordGrant(req request, settle func(galenastair.Tokens)) {
	i := len(sim.history)
	sim.history = append(sim.history, rate.Grant{
		Request: galenastair.RequestID(req.at.String()), At: sim.env.now, Tokens: req.charge,
	})
	sim.scheduleSettlement(req, func(used galenastair.Tokens) {
		sim.history[i].Tokens = used
		settle(used)
	})
}

func (sim *simulation) scheduleSettlement(req request, settle func(galenastair.Tokens)) {
	sim.settlements = append(sim.settlements, settlement{req.at + req.duration, func() { settle(req.used) }})
}

// endOutage records the end of a time without granted requests.
func (sim *simulation) endOutage(at time.Duration) {
	if sim.outageStart >= 0 {
		sim.result.LongestOutage = max(sim.result.LongestOutage, at-sim.outageStart)
		sim.outageStart = -1
	}
}
