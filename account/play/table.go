package play

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// requestCost is what a request takes, in tokens.
	requestCost = 3000
	// warmUp is played before a fault, and counted how long what follows it.
	warmUp  = 10 * time.Second
	counted = 10 * time.Second
	// around is the time right after a fault.
	around = 2 * time.Second
	// instanceLoss is for how long what is lost is gone.
	instanceLoss = time.Hour
)

// sizes are instances: the users' smallest and largest sites, some between, and the size to come.
var sizes = []int{7, 30, 87, 300, 370}

// Scenario is a demand, as a part of the rate, and what happens after the warm-up.
type Scenario struct {
	Name  string
	Asked func(sinceFault time.Duration) float64
	Fault func(*Fleet)
	// few has all requests come in at a tenth of the instances.
	few bool
}

func half(time.Duration) float64 { return 0.5 }

// Scenarios are what the table shows.
func Scenarios() []Scenario {
	none := func(*Fleet) {}
	return []Scenario{
		{Name: "steady", Asked: half, Fault: none},
		{Name: "skewed", Asked: half, Fault: none, few: true},
		{Name: "burst", Asked: burst, Fault: none},
		{Name: "flood", Asked: func(time.Duration) float64 { return 10 }, Fault: none},
		{Name: "leader lost", Asked: half, Fault: (*Fleet).ReplaceLeader},
		{Name: "owner lost", Asked: half, Fault: func(f *Fleet) { f.Restart(f.Owner(f.Any()), instanceLoss) }},
		{Name: "owner cut off", Asked: half, Fault: func(f *Fleet) { f.Cut(f.Owner(f.Any()), instanceLoss) }},
		{Name: "owner stopped", Asked: half, Fault: func(f *Fleet) { f.Stop(f.Owner(f.Any())) }},
		{Name: "half lost", Asked: half, Fault: loseHalf},
		{Name: "all restarted", Asked: half, Fault: restartAll},
	}
}

// burst is three times the rate for a second after a time without demand.
func burst(sinceFault time.Duration) float64 {
	if sinceFault >= 0 && sinceFault < time.Second {
		return 3
	}
	return 0
}

func loseHalf(f *Fleet) {
	for i, x := range f.Instances {
		if i%2 == 0 {
			f.Restart(x, instanceLoss)
		}
	}
}

func restartAll(f *Fleet) {
	f.ReplaceLeader()
	for _, x := range f.Instances {
		f.Restart(x, 500*time.Millisecond)
	}
}

// Outcome is what one play showed. Parts are of the tokens that were owed: asked for, and no
// more than the rate and, of a burst, the contract's burst.
type Outcome struct {
	// Admitted is over the time that is counted, and Around over the two seconds after a fault.
	Admitted float64
	Around   float64
	// Most is the most in any window, as a part of what the platform allows.
	Most float64
	// Calls is the charges that an instance asks of others in a second.
	Calls float64
}

// Play plays one scenario.
func Play(s Scenario, seed uint64, instances int, c Contract) Outcome {
	f := New(seed, instances, c)
	f.Settle()
	fault := f.Now.Add(warmUp)
	owed, got, owedAround, gotAround, due := 0.0, 0.0, 0.0, 0.0, 0.0
	faulty := false
	for f.Now < fault.Add(counted) {
		f.Step()
		if !faulty && f.Now >= fault {
			s.Fault(f)
			faulty = true
		}
		since := f.Now.Sub(fault)
		due += s.Asked(since) * c.Rate * Step.Seconds()
		for ; due >= requestCost; due -= requestCost {
			at := f.caller(s)
			granted := f.Charge(at, requestCost)
			if since < 0 {
				continue
			}
			owed += requestCost
			if granted {
				got += requestCost
			}
			if since < around {
				owedAround += requestCost
				if granted {
					gotAround += requestCost
				}
			}
		}
	}
	return Outcome{
		Admitted: part(got, min(owed, c.Rate*counted.Seconds()+c.Burst)),
		Around:   part(gotAround, min(owedAround, c.Rate*around.Seconds()+c.Burst)),
		Most:     f.Most() / c.Bound(),
		Calls:    float64(f.Calls) / float64(instances) / (warmUp + counted).Seconds(),
	}
}

// caller draws an instance that runs; callers whose instance is down come to another.
func (f *Fleet) caller(s Scenario) *Instance {
	for range 50 {
		x := f.Any()
		if s.few {
			x = f.Instances[f.Rand.IntN(max(1, len(f.Instances)/10))]
		}
		if f.Up(x) {
			return x
		}
	}
	return f.Any()
}

func part(got, owed float64) float64 {
	if owed <= 0 {
		return 1
	}
	return min(1, got/owed)
}

// Table plays all scenarios at all sizes and returns what came of them.
func Table(seed uint64) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "instances\tscenario\tadmitted\twithin 2 s\tmost of the bound\tcalls/s an instance\t")
	c := Contract{Rate: 33_000, Burst: 33_000}
	for _, n := range sizes {
		for _, s := range Scenarios() {
			o := Play(s, seed, n, c)
			fmt.Fprintf(w, "%d\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t\n", n, s.Name, o.Admitted, o.Around, o.Most, o.Calls)
		}
	}
	_ = w.Flush()
	return b.String()
}
