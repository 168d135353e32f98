package play

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// requestCost is the cost of a request in tokens.
	requestCost = 3000
	// warmUpPeriod runs before a fault, and measuredPeriod is the time after it that is measured.
	warmUpPeriod   = 10 * time.Second
	measuredPeriod = 10 * time.Second
	// afterFaultPeriod is the time right after a fault.
	afterFaultPeriod = 2 * time.Second
	// lossDuration is how long a lost instance is down; it exceeds the simulated time.
	lossDuration = time.Hour
)

// sizes are numbers of instances: those of the users' smallest and largest sites, some between,
// and the size planned next.
var sizes = []int{7, 30, 87, 300, 370}

// Scenario is a demand, as a fraction of the rate, and a fault after the warm-up.
type Scenario struct {
	Name   string
	Demand func(sinceFault time.Duration) float64
	Fault  func(*Fleet)
	// skewed sends all requests to a tenth of the instances.
	skewed bool
}

func halfOfRate(time.Duration) float64 { return 0.5 }

// Scenarios returns the scenarios of the table.
func Scenarios() []Scenario {
	none := func(*Fleet) {}
	return []Scenario{
		{Name: "steady", Demand: halfOfRate, Fault: none},
		{Name: "skewed", Demand: halfOfRate, Fault: none, skewed: true},
		{Name: "burst", Demand: burstDemand, Fault: none},
		{Name: "flood", Demand: func(time.Duration) float64 { return 10 }, Fault: none},
		{Name: "leader lost", Demand: halfOfRate, Fault: (*Fleet).ReplaceLeader},
		{Name: "owner lost", Demand: halfOfRate, Fault: func(f *Fleet) { f.Restart(f.Owner(f.RandomInstance()), lossDuration) }},
		{Name: "owner cut off", Demand: halfOfRate, Fault: func(f *Fleet) { f.Partition(f.Owner(f.RandomInstance()), lossDuration) }},
		{Name: "owner stopped", Demand: halfOfRate, Fault: func(f *Fleet) { f.Stop(f.Owner(f.RandomInstance())) }},
		{Name: "half lost", Demand: halfOfRate, Fault: loseHalf},
		{Name: "all restarted", Demand: halfOfRate, Fault: restartAll},
	}
}

// burstDemand is three times the rate for one second, after a time without demand.
func burstDemand(sinceFault time.Duration) float64 {
	if sinceFault >= 0 && sinceFault < time.Second {
		return 3
	}
	return 0
}

func loseHalf(f *Fleet) {
	for i, x := range f.Instances {
		if i%2 == 0 {
			f.Restart(x, lossDuration)
		}
	}
}

func restartAll(f *Fleet) {
	f.ReplaceLeader()
	for _, x := range f.Instances {
		f.Restart(x, 500*time.Millisecond)
	}
}

// Result is the outcome of one run. Ratios are of the tokens that were owed: those asked for, up
// to the rate and the contract's burst.
type Result struct {
	// Admitted covers the whole measured period, and AfterFault the two seconds after the fault.
	Admitted   float64
	AfterFault float64
	// MaxOfBound is the most in any window, as a fraction of what the platform allows.
	MaxOfBound float64
	// CallsPerSecond is the number of charges that one instance sends to others per second.
	CallsPerSecond float64
}

// RunScenario runs one scenario.
func RunScenario(s Scenario, seed uint64, instances int, c Contract) Result {
	f := New(seed, instances, c)
	f.Settle()
	fault := f.Now.Add(warmUpPeriod)
	owed, admitted, owedAfterFault, gotAfterFault, pending := 0.0, 0.0, 0.0, 0.0, 0.0
	faulted := false
	for f.Now < fault.Add(measuredPeriod) {
		f.Step()
		if !faulted && f.Now >= fault {
			s.Fault(f)
			faulted = true
		}
		since := f.Now.Sub(fault)
		pending += s.Demand(since) * c.Rate * Step.Seconds()
		for ; pending >= requestCost; pending -= requestCost {
			at := f.targetInstance(s)
			granted := f.Charge(at, requestCost)
			if since < 0 {
				continue
			}
			owed += requestCost
			if granted {
				admitted += requestCost
			}
			if since < afterFaultPeriod {
				owedAfterFault += requestCost
				if granted {
					gotAfterFault += requestCost
				}
			}
		}
	}
	return Result{
		Admitted:       ratio(admitted, min(owed, c.Rate*measuredPeriod.Seconds()+c.Burst)),
		AfterFault:     ratio(gotAfterFault, min(owedAfterFault, c.Rate*afterFaultPeriod.Seconds()+c.Burst)),
		MaxOfBound:     f.MaxInWindow() / c.Bound(),
		CallsPerSecond: float64(f.Calls) / float64(instances) / (warmUpPeriod + measuredPeriod).Seconds(),
	}
}

// targetInstance returns a random running instance; callers whose instance is down use another
// one.
func (f *Fleet) targetInstance(s Scenario) *Instance {
	for range 50 {
		x := f.RandomInstance()
		if s.skewed {
			x = f.Instances[f.Rand.IntN(max(1, len(f.Instances)/10))]
		}
		if f.Up(x) {
			return x
		}
	}
	return f.RandomInstance()
}

func ratio(admitted, owed float64) float64 {
	if owed <= 0 {
		return 1
	}
	return min(1, admitted/owed)
}

// Table runs all scenarios at all sizes and returns the results as a table.
func Table(seed uint64) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "instances\tscenario\tadmitted\twithin 2 s\tmost of the bound\tcalls/s an instance\t")
	c := Contract{Rate: 33_000, Burst: 33_000}
	for _, n := range sizes {
		for _, s := range Scenarios() {
			o := RunScenario(s, seed, n, c)
			fmt.Fprintf(w, "%d\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t\n", n, s.Name, o.Admitted, o.AfterFault, o.MaxOfBound, o.CallsPerSecond)
		}
	}
	_ = w.Flush()
	return b.String()
}
