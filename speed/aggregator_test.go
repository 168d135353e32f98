package speed_test

import (
	"math"
	"math/rand/v2"
	"runtime"
	"strconv"
	"testing"
	"time"

	"galenastair"
	"galenastair/speed"
)

const service galenastair.ServiceName = "draft"

func at(d time.Duration) time.Time { return time.Unix(1_700_000_000, 0).Add(d) }

// fleet makes observations of servers whose speeds are known.
type fleet struct {
	rng    *rand.Rand
	ratios []float64
	// common is a ratio that applies to all servers.
	common float64
	// slowMoments is the fraction of observations at slowRatio, as if a moment lasted one request.
	slowMoments float64
	// scatter is the standard deviation of the logarithm.
	scatter float64
}

const slowRatio = 2.5

func newFleet(ratios ...float64) *fleet {
	return &fleet{rng: rand.New(rand.NewPCG(1, 2)), ratios: ratios, common: 1.4, slowMoments: 0.15, scatter: 0.15}
}

func key(i int) speed.Key { return speed.KeyOf(galenastair.BackendServerID(rune('a'+i)), 1) }

func (f *fleet) register(a *speed.Aggregator) {
	for i := range f.ratios {
		a.SetServer(key(i), service)
	}
}

func (f *fleet) observe(i int) speed.Observation {
	r := f.ratios[i] * f.common * math.Exp(f.rng.NormFloat64()*f.scatter)
	if f.rng.Float64() < f.slowMoments {
		r *= slowRatio
	}
	return speed.Observation{Server: key(i), Ratio: speed.Ratio(r)}
}

// run reports two observations of each server per second, and returns the changes of factors.
func (f *fleet) run(a *speed.Aggregator, from, to time.Duration) []speed.Change {
	var changes []speed.Change
	for t := from; t < to; t += 500 * time.Millisecond {
		for i := range f.ratios {
			a.Observe(at(t), []speed.Observation{f.observe(i)})
		}
		changes = append(changes, a.Step(at(t))...)
	}
	return changes
}

func repeat(n int, r float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = r
	}
	return out
}

func unevenFleet() *fleet {
	return newFleet(append(append(repeat(20, 1), repeat(5, 0.7)...), repeat(5, 1.7)...)...)
}

// Guards against a slow server that is detected only after its callers have waited for long.
func TestSlowAndFastServersAreDetectedWithinSeconds(t *testing.T) {
	f, a := unevenFleet(), speed.NewAggregator(at(0))
	f.register(a)
	f.run(a, 0, 8*time.Second)
	for i, want := range f.ratios {
		if got := a.Factor(key(i)); want > 1 && got < 1.25 {
			t.Errorf("after 8 s, the factor of a server of %v is %v", want, got)
		}
	}
	f.run(a, 8*time.Second, 60*time.Second)
	for i, want := range f.ratios {
		if got := float64(a.Factor(key(i))); math.Abs(math.Log(got/want)) > 0.15 {
			t.Errorf("after 60 s, the factor of a server of %v is %v", want, got)
		}
	}
}

// Guards against equal servers that are treated as uneven because of chance or slow moments.
func TestEqualServersHaveNoFactors(t *testing.T) {
	f, a := newFleet(repeat(140, 1)...), speed.NewAggregator(at(0))
	f.register(a)
	uneven, all := 0, 0
	for d := time.Duration(0); d < 10*time.Minute; d += time.Second {
		f.run(a, d, d+time.Second)
		for i := range f.ratios {
			r := a.Factor(key(i))
			all++
			if r != 1 {
				uneven++
			}
			if r > 1.2 || r < 0.83 {
				t.Errorf("after %v, the factor of an equal server is %v", d, r)
			}
		}
	}
	if uneven*200 > all {
		t.Errorf("factors differ from 1 for %d of %d seconds", uneven, all)
	}
}

// Guards against a change of the load, which slows all servers, that is taken for a slow server.
func TestChangeOfAllServersChangesNoFactor(t *testing.T) {
	f, a := newFleet(repeat(60, 1)...), speed.NewAggregator(at(0))
	f.register(a)
	f.run(a, 0, 30*time.Second)
	f.common = 3
	changes := f.run(a, 30*time.Second, time.Minute)
	f.common = 0.9
	changes = append(changes, f.run(a, time.Minute, 90*time.Second)...)
	if len(changes) > 2 {
		t.Errorf("%d changes of factors: %v", len(changes), changes)
	}
}

// Guards against a server that counts as slow because of a slow moment of a few seconds.
func TestSlowMomentDoesNotMakeAServerSlow(t *testing.T) {
	f, a := newFleet(repeat(30, 1)...), speed.NewAggregator(at(0))
	f.slowMoments = 0
	f.register(a)
	f.run(a, 0, 30*time.Second)
	f.ratios[3] = slowRatio
	f.run(a, 30*time.Second, 33*time.Second)
	if r := a.Factor(key(3)); r > 1.2 {
		t.Errorf("after 3 s at %v, the factor is %v", slowRatio, r)
	}
	f.ratios[3] = 1
	f.run(a, 33*time.Second, 90*time.Second)
	if r := a.Factor(key(3)); r != 1 {
		t.Errorf("a minute after the slow moment, the factor is %v", r)
	}
}

// Guards against a lasting change of a server that is not followed.
func TestLastingChangeIsFollowed(t *testing.T) {
	f, a := unevenFleet(), speed.NewAggregator(at(0))
	f.register(a)
	f.run(a, 0, time.Minute)
	f.ratios[0] = 2.5
	f.run(a, time.Minute, 2*time.Minute)
	if r := a.Factor(key(0)); r < 1.8 {
		t.Errorf("a minute after it became slow, the factor is %v", r)
	}
}

// Guards against an instance that starts late, or has missed an update, and lacks factors.
func TestInstanceGetsAllFactorsThenChanges(t *testing.T) {
	f, a := unevenFleet(), speed.NewAggregator(at(0))
	f.register(a)
	f.run(a, 0, 30*time.Second)
	late := speed.NewTable()
	first := a.Since(0)
	late.Apply(first)
	for i := range f.ratios {
		if late.Factor(key(i)) != a.Factor(key(i)) {
			t.Errorf("factor %v at the instance, %v at the leader", late.Factor(key(i)), a.Factor(key(i)))
		}
	}
	if again := a.Since(first.Newest); len(again.Factors) > 0 {
		t.Errorf("factors that the instance has are sent again: %v", again.Factors)
	}
	f.ratios[0] = 3
	f.run(a, 30*time.Second, 90*time.Second)
	u := a.Since(first.Newest)
	if n := len(u.Factors); n == 0 || n > len(f.ratios)/3 {
		t.Errorf("%d of %d factors in the update after one server changed", n, len(f.ratios))
	}
	late.Apply(u)
	if r := late.Factor(key(0)); r < 2 {
		t.Errorf("the factor of the changed server is %v at the instance", r)
	}
	if u := a.Since(u.Newest + 1e9); len(u.Factors) < len(f.ratios) {
		t.Errorf("an instance with a number of another leader gets only %d factors", len(u.Factors))
	}
}

// Guards against factors that are lost, or kept although wrong, when the leader changes.
func TestNewLeaderBeginsWithTheFactorsItReceived(t *testing.T) {
	f, a := unevenFleet(), speed.NewAggregator(at(0))
	f.register(a)
	f.run(a, 0, 30*time.Second)
	follower := speed.NewTable()
	seen := a.Since(0)
	follower.Apply(seen)
	next := speed.NewAggregator(at(-time.Hour))
	f.register(next)
	// the follower has led before, when the servers had other speeds
	old := newFleet(repeat(30, 1)...)
	old.run(next, -time.Hour, -time.Hour+time.Minute)
	f.ratios[29], f.common = 1, 2
	next.Restart(at(30*time.Second), follower.Factors())
	for i, r := range f.ratios[:29] {
		if got := float64(next.Factor(key(i))); math.Abs(math.Log(got/r)) > 0.2 {
			t.Errorf("a new leader begins with %v for a server of %v", got, r)
		}
	}
	f.run(next, 30*time.Second, time.Minute)
	follower.Apply(next.Since(seen.Newest))
	for i, r := range f.ratios {
		if got := float64(follower.Factor(key(i))); math.Abs(math.Log(got/r)) > 0.25 {
			t.Errorf("30 s later an instance has %v for a server of %v", got, r)
		}
	}
}

// Guards against a factor of a process that applies to the next one with the same ID.
func TestRestartedServerHasNoFactor(t *testing.T) {
	f, a := unevenFleet(), speed.NewAggregator(at(0))
	f.register(a)
	f.run(a, 0, 30*time.Second)
	slow := len(f.ratios) - 1
	restarted := speed.KeyOf(galenastair.BackendServerID(rune('a'+slow)), 2)
	a.DropServer(key(slow))
	a.SetServer(restarted, service)
	if r := a.Factor(restarted); r != 1 {
		t.Errorf("the factor of a restarted server is %v", r)
	}
	a.Observe(at(31*time.Second), []speed.Observation{f.observe(slow)})
	a.Step(at(31 * time.Second))
	if r := a.Factor(key(slow)); r != 1 {
		t.Errorf("an observation that was late gives the ended process the factor %v", r)
	}
}

// Guards against factors that are lost in an outage of the store, in which registrations end and
// return, and against memory for servers that have gone.
func TestRemovedServerIsKeptForAWhile(t *testing.T) {
	f, a := unevenFleet(), speed.NewAggregator(at(0))
	f.register(a)
	f.run(a, 0, 30*time.Second)
	slow := len(f.ratios) - 1
	before := a.Factor(key(slow))
	a.RemoveServer(at(30*time.Second), key(slow))
	a.Step(at(50 * time.Second))
	a.SetServer(key(slow), service)
	a.Step(at(95 * time.Second))
	if r := a.Factor(key(slow)); r != before {
		t.Errorf("the factor is %v after the server registered again, %v before", r, before)
	}
	a.RemoveServer(at(95*time.Second), key(slow))
	a.Step(at(156 * time.Second))
	for _, f := range a.Since(0).Factors {
		if f.Server == key(slow) {
			t.Error("a removed server still has a factor")
		}
	}
}

// Guards against a server that is avoided as slow, and never observed again.
func TestFactorExpiresWithoutObservations(t *testing.T) {
	f, a := unevenFleet(), speed.NewAggregator(at(0))
	f.register(a)
	f.run(a, 0, 30*time.Second)
	a.Step(at(151 * time.Second))
	if r := a.Factor(key(len(f.ratios) - 1)); r != 1 {
		t.Errorf("two minutes after the last observation, the factor is %v", r)
	}
}

// Guards against invalid values from another version of the system.
func TestInvalidObservationsAreIgnored(t *testing.T) {
	a := speed.NewAggregator(at(0))
	a.SetServer(key(0), service)
	a.SetServer(key(1), service)
	for i := range 100 {
		a.Observe(at(time.Duration(i)*time.Second), []speed.Observation{
			{key(0), speed.Ratio(math.NaN())}, {key(0), -1}, {key(0), 0}, {key(0), speed.Ratio(math.Inf(1))}, {key(1), speed.FromSteps(1 << 30)}, {key(7), 1},
		})
		a.Step(at(time.Duration(i) * time.Second))
	}
	for _, f := range a.Since(0).Factors {
		if !(f.Ratio >= 0.25 && f.Ratio <= 4) {
			t.Errorf("factor %v", f)
		}
	}
}

func TestRatiosSurviveTheirEncoding(t *testing.T) {
	for _, r := range []speed.Ratio{0.25, 0.7, 0.95, 1, 1.1, 1.7, 2.5, 4} {
		if got := speed.FromSteps(r.Steps()); math.Abs(math.Log(float64(got/r))) > 0.011 {
			t.Errorf("%v becomes %v", r, got)
		}
	}
	if speed.FromSteps(speed.Ratio(1).Steps()) != 1 {
		t.Error("1 does not stay 1, so equal servers would be treated as uneven")
	}
}

// Guards against a key under which many servers, or the processes of one server, share a factor.
func TestKeysOfProcessesDiffer(t *testing.T) {
	keys := map[speed.Key]bool{}
	for i := range 1900 {
		for incarnation := range int64(2) {
			keys[speed.KeyOf(galenastair.BackendServerID("engine-"+strconv.Itoa(i)), incarnation)] = true
		}
	}
	if len(keys) < 3798 {
		t.Errorf("%d keys of 3800 processes", len(keys))
	}
}

// The work of a leader in a second: two observations of each of 1,900 servers, and five steps.
func BenchmarkLeaderSecond(b *testing.B) {
	f, a := newFleet(repeat(1900, 1)...), speed.NewAggregator(at(0))
	for i := range f.ratios {
		a.SetServer(speed.KeyOf(galenastair.BackendServerID(strconv.Itoa(i)), 1), service)
	}
	reports := make([][]speed.Observation, 100)
	for i := range reports {
		for j := range 38 {
			o := f.observe(0)
			o.Server = speed.KeyOf(galenastair.BackendServerID(strconv.Itoa((i*38+j)%1900)), 1)
			reports[i] = append(reports[i], o)
		}
	}
	now := time.Duration(0)
	for b.Loop() {
		for i, r := range reports {
			a.Observe(at(now), r)
			if i%20 == 0 {
				now += 200 * time.Millisecond
				a.Step(at(now))
			}
		}
	}
}

// Guards against a leader's memory that grows with the time or the number of observations.
func TestMemoryOfTheLeaderIsBounded(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	a := speed.NewAggregator(at(0))
	for i := range 1900 {
		a.SetServer(speed.KeyOf(galenastair.BackendServerID(strconv.Itoa(i)), 1), service)
	}
	for n := range 200 {
		for i := range 1900 {
			a.Observe(at(time.Duration(n)*time.Second), []speed.Observation{{speed.KeyOf(galenastair.BackendServerID(strconv.Itoa(i)), 1), 1}})
		}
		a.Step(at(time.Duration(n) * time.Second))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perServer := float64(after.HeapAlloc-before.HeapAlloc) / 1900
	t.Logf("%.0f bytes a server", perServer)
	if perServer > 600 {
		t.Errorf("%.0f bytes a server", perServer)
	}
	runtime.KeepAlive(a)
}
