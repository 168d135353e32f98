package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// restartAll runs a fleet in which all instances lose their state at once, while requests arrive
// at a fraction of the rate. The next lender starts after the given time without one. It returns
// the fraction of requests refused in the first two seconds after the restart.
func restartAll(n int, known func(Checkpoint) Checkpoint, rate, load float64, without time.Duration) float64 {
	const cost = 2390.0
	f := newFleet(n, rate, rate)
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = 1 / float64(n)
	}
	runLoad(f, weights, rate, load, cost, func(time.Time) bool { return true })
	restarted := f.now
	f.lender = NewLender(tolerance)
	f.lender.SetContracts(contract(rate, rate))
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	checkpoint := known(f.checkpoint)
	for i := range f.borrowers {
		f.borrowers[i] = NewBorrower(tolerance, WithRandom(rng.Float64))
		f.borrowers[i].SetContracts(f.now, contract(rate, rate))
		f.borrowers[i].Restore(f.now, id(i), checkpoint, true)
	}
	f.lender.Reset(f.now.Add(without), checkpoint)
	before := len(f.spent)
	runLoad(f, weights, rate, load, cost, func(now time.Time) bool { return now.Sub(restarted) >= without })
	served := 0.0
	for _, s := range f.spent[before:] {
		if s.at.Sub(restarted) < 2*time.Second {
			served += s.cost
		}
	}
	return 1 - served/(2*rate*load)
}

// All instances lose power and restart. None remembers the fleet size or what was spent, and the
// next lender takes a second or two to start. Two thirds of the requests well within the quota
// were refused meanwhile, when each instance assumed the default fleet size.
func TestRestartOfAllRefusesLittle(t *testing.T) {
	is := is.New(t)
	const without = 1300 * time.Millisecond
	refused := restartAll(6, func(c Checkpoint) Checkpoint { return c }, 40000, 0.5, without)
	counted := restartAll(6, func(c Checkpoint) Checkpoint { return Checkpoint{Instances: c.Instances} }, 40000, 0.5, without)
	unknown := restartAll(6, func(Checkpoint) Checkpoint { return Checkpoint{} }, 40000, 0.5, without)
	t.Logf("refused: %.2f; %.2f with the count alone, %.2f with nothing", refused, counted, unknown)
	is.True(refused < 0.05)
	is.True(counted < 0.15)
}

// An instance returns after its timeout, and the others are partitioned from the lender before
// they learn of it. Fractions allocated by the new count alone added up to more than the whole: to
// 1.5 times the rate with two instances.
func TestFractionsNeverExceedTheWhole(t *testing.T) {
	is := is.New(t)
	const rate = 20000.0
	f := newFleet(2, rate, rate)
	f.lender.Reset(f.now, Checkpoint{Instances: []galenastair.InstanceID{"0", "1"}})
	for range 10 {
		f.now = f.now.Add(300 * time.Millisecond)
		f.exchange(0)
		f.exchange(1)
	}
	is.Equal(f.borrowers[0].fraction, equalFraction(2))
	for range 30 { // the second is partitioned until its timeout
		f.now = f.now.Add(300 * time.Millisecond)
		f.exchange(0)
		f.borrowers[1].ReportLenderUnavailable(f.now)
	}
	is.Equal(f.borrowers[0].fraction, Fraction(1))
	f.exchange(1)
	is.Equal(f.borrowers[1].fraction, Fraction(0))
	f.exchange(0)
	f.exchange(1)
	is.Equal(f.borrowers[1].fraction, Fraction(0)) // the first may not have received the answer
	f.exchange(0)
	f.exchange(1)
	is.Equal(f.borrowers[0].fraction, equalFraction(2))
	is.Equal(f.borrowers[1].fraction, equalFraction(2))
}

// Two lenders run at once, as when the lease moves while its holder is partitioned from the store.
// Each moment of an instance's fraction must go to only one of them.
func TestTwoLendersShareOneRate(t *testing.T) {
	is := is.New(t)
	const rate = 20000.0
	now := start
	lenders := []*Lender{NewLender(tolerance), NewLender(tolerance)}
	for _, l := range lenders {
		l.SetContracts(contract(rate, rate))
		l.Reset(now, Checkpoint{Instances: []galenastair.InstanceID{"a"}})
	}
	s := NewBorrower(tolerance)
	s.SetContracts(now, contract(rate, rate))
	s.Restore(now, "a", Checkpoint{Instances: []galenastair.InstanceID{"a"}}, true)
	s.SetAllocation(now, lenders[0].Contribute(now, "a", s.TakeContribution(now)))
	taken := 0.0
	for i := range 40 {
		now = now.Add(200 * time.Millisecond)
		l := lenders[i%2]
		s.SetAllocation(now, l.Contribute(now, "a", s.TakeContribution(now)))
		taken += l.accounts["org"].takeUpTo(1e9)
	}
	lent, _ := tolerance.LendingBucket(contract(rate, rate).Organisation("org"))
	is.True(taken <= lent*8+1)
}

// Sums leave the window slot by slot after one window, and older slots do not come back. The sum
// of loans errs upwards and that of contributed time downwards.
func TestWindowDropsOldSlots(t *testing.T) {
	is := is.New(t)
	const length = 8 * time.Second
	var w window
	for at := time.Duration(0); at < 3*length; at += 100 * time.Millisecond {
		s := w.slot(at, length)
		s.lent += 10
		s.contributed += 0.1
		if at < length+time.Second {
			continue
		}
		is.True(w.lent() >= 800 && w.lent() <= 830)
		is.True(w.contributed() <= 8.0001 && w.contributed() >= 7.6)
	}
	w.slot(10*length, length)
	is.Equal(w.lent(), 0.0)
	is.Equal(w.contributed(), 0.0)
}

// Instances grant in advance, find a lender and lose it again within one window. They must not
// start the second fallback with a fraction of the reserve as well.
func TestNoReserveWithinAWindowOfAnAdvance(t *testing.T) {
	is := is.New(t)
	const rate = 20000.0
	now := start
	s := NewBorrower(tolerance)
	s.SetContracts(now, contract(rate, rate))
	s.Restore(now, "a", Checkpoint{Instances: []galenastair.InstanceID{"a"}, LowUsage: []galenastair.Organisation{"org"}}, true)
	s.ReportLenderUnavailable(now)
	for s.Take(now, "org", 100) {
	}
	now = now.Add(advancePeriod + time.Second)
	s.SetAllocation(now, Allocation{FleetSize: 1, Fraction: 1})
	now = start.Add(tolerance.Window - time.Second)
	s.SetAllocation(now, Allocation{FleetSize: 1, Fraction: 1})
	s.ReportLenderUnavailable(now)
	is.True(!s.Take(now, "org", 100))
	// one window later the reserve is available again
	now = start.Add(tolerance.Window + time.Second)
	s.SetAllocation(now, Allocation{FleetSize: 1, Fraction: 1})
	s.ReportLenderUnavailable(now)
	is.True(s.Take(now, "org", 100))
}

// An instance finds a lender after a fallback. What it still holds locally must be void after
// lenderWarmup, because it would be spent beside the lender's full bucket.
func TestLocalTokensAreVoidOnceTheLenderHasRefilled(t *testing.T) {
	is := is.New(t)
	const rate = 20000.0
	for _, after := range []time.Duration{0, lenderWarmup - time.Millisecond, lenderWarmup} {
		now := start
		s := NewBorrower(tolerance)
		s.SetContracts(now, contract(rate, rate))
		s.Restore(now, "a", Checkpoint{Instances: []galenastair.InstanceID{"a"}}, true)
		s.ReportLenderUnavailable(now)
		now = now.Add(2 * time.Second)
		s.SetAllocation(now, Allocation{FleetSize: 1, Fraction: 1})
		is.Equal(s.Take(now.Add(after), "org", 1000), after < lenderWarmup)
	}
}

// An instance is partitioned for so long that its fraction is allocated to others. It then reaches
// a lender that has not counted the fleet yet, and loses it again. It must not spend its whole old
// fraction anew.
func TestFractionStaysReducedUntilReallocated(t *testing.T) {
	is := is.New(t)
	const rate = 20000.0
	now := start
	s := NewBorrower(tolerance)
	s.SetContracts(now, contract(rate, rate))
	s.SetAllocation(now, Allocation{FleetSize: 2, Fraction: 0.5})
	own := func() float64 {
		s.ReportLenderUnavailable(now)
		s.Take(now, "org", 1)
		return s.accounts["org"].local.rate
	}
	whole := own()
	now = now.Add(instanceTimeout)
	spent := own()
	is.True(spent < whole/2)
	s.SetAllocation(now, Allocation{})
	now = now.Add(time.Second)
	is.Equal(own(), spent)
	s.SetAllocation(now, Allocation{FleetSize: 2, Fraction: 0.5})
	now = now.Add(time.Second)
	is.Equal(own(), whole)
}
