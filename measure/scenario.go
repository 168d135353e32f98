package measure

import (
	"math"
	"time"
)

// scenario is a load and the faults injected during it.
type scenario struct {
	name string
	// load is the offered load as a multiple of the site's capacity.
	load     float64
	duration time.Duration
	// belowSaturation marks the scenarios to which the aims for load below saturation
	// apply.
	belowSaturation bool
	// modelDemand returns the factor that scales the demand of an organisation for a
	// model at a time.
	modelDemand func(at time.Duration, organisation, model int) float64
	// organisationDemand returns the factor that scales the total demand of an
	// organisation at a time.
	organisationDemand func(at time.Duration, organisation int) float64
	// noRateLimit disables the rate limiter, so that only the queue protects the
	// organisations from each other.
	noRateLimit bool
	// aboveRate is the number of the organisation that exceeds its rate, counted from 1;
	// zero means none. The figures for requests within rate exclude it.
	aboveRate int
	// longShare is the share of requests with a prompt 4 times and an output 10 times as
	// long as others.
	longShare     float64
	slowEngine    bool
	failingEngine bool
}

const (
	faultStart = 100 * time.Second
	faultEnd   = 200 * time.Second
)

func scenarios() []scenario {
	span := 300 * time.Second
	return []scenario{
		{name: "steady", load: 0.85, duration: span, belowSaturation: true},
		{name: "bursts", load: 0.5, duration: span, belowSaturation: true, organisationDemand: bursts},
		{name: "moving skew", load: 0.75, duration: 900 * time.Second, belowSaturation: true, modelDemand: movingSkew},
		{name: "tenfold and back", load: 0.5, duration: 2400 * time.Second, belowSaturation: true, modelDemand: tenfold},
		{name: "one slow", load: 0.7, duration: span, belowSaturation: true, slowEngine: true},
		{name: "one dying", load: 0.7, duration: span, belowSaturation: true, failingEngine: true},
		{name: "long and short", load: 0.7, duration: span, belowSaturation: true, longShare: 0.05},
		{name: "five times its rate", load: 0.6, duration: span, noRateLimit: true, aboveRate: 2, organisationDemand: fiveTimes},
		{name: "saturation", load: 1.3, duration: span, noRateLimit: true},
		{name: "twice the capacity", load: 2, duration: span, noRateLimit: true},
	}
}

// bursts makes each organisation in turn send four times its usual load for ten seconds.
func bursts(at time.Duration, o int) float64 {
	if int(at/(10*time.Second))%10 == o {
		return 4
	}
	return 1
}

// movingSkew multiplies the demand for two models by 8, which gives them a third of the
// demand or more. The two models change every three minutes.
func movingSkew(at time.Duration, _, m int) float64 {
	turn := int(at / (3 * time.Minute))
	if m == (7*turn+3)%20 || m == (7*turn+11)%20 {
		return 8
	}
	return 1
}

// tenfold makes the demand for two models grow tenfold within twenty minutes and shrink
// back within another twenty.
func tenfold(at time.Duration, _, m int) float64 {
	if m != 4 && m != 9 {
		return 1
	}
	half := 20 * time.Minute
	up := 1 - math.Abs(float64(at-half))/float64(half)
	return math.Pow(10, max(0, up))
}

// fiveTimes makes the second organisation send five times its contracted rate. The factor
// applies to a load of 0.6 of the capacity, while the contracted rates add up to
// overbookingFactor times the capacity.
func fiveTimes(_ time.Duration, o int) float64 {
	if o == 1 {
		return 5 * overbookingFactor / 0.6
	}
	return 1
}
