package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// restartAll plays a fleet all of whose instances lose their state at once while requests
// come at a part of the rate. A lender begins after a while. It returns the share that is
// refused in the two seconds from the restart on.
func restartAll(n int, known func(Note) Note, rate, part float64, without time.Duration) float64 {
	const cost = 2390.0
	f := newFleet(n, rate, rate)
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = 1 / float64(n)
	}
	play(f, weights, rate, part, cost, func(time.Time) bool { return true })
	restarted := f.now
	f.lender = NewLender(terms)
	f.lender.SetContracts(contract(rate, rate))
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	note := known(f.note)
	for i := range f.shares {
		f.shares[i] = NewShare(terms, WithChance(rng.Float64))
		f.shares[i].SetContracts(f.now, contract(rate, rate))
		f.shares[i].Presume(f.now, id(i), note, true)
	}
	f.lender.Reset(f.now.Add(without), note)
	before := len(f.spent)
	play(f, weights, rate, part, cost, func(now time.Time) bool { return now.Sub(restarted) >= without })
	served := 0.0
	for _, s := range f.spent[before:] {
		if s.at.Sub(restarted) < 2*time.Second {
			served += s.cost
		}
	}
	return 1 - served/(2*rate*part)
}

// All instances lose power and come back. None remembers how many there are, nor what was
// spent, and the next lender takes a second or two. Of requests well within the quota two
// thirds were refused meanwhile, each instance taking itself for one of many.
func TestRestartOfAllRefusesLittle(t *testing.T) {
	is := is.New(t)
	const without = 1300 * time.Millisecond
	refused := restartAll(6, func(n Note) Note { return n }, 40000, 0.5, without)
	counted := restartAll(6, func(n Note) Note { return Note{Instances: n.Instances} }, 40000, 0.5, without)
	unknown := restartAll(6, func(Note) Note { return Note{} }, 40000, 0.5, without)
	t.Logf("refused: %.2f; %.2f with the count alone, %.2f with nothing", refused, counted, unknown)
	is.True(refused < 0.05)
	is.True(counted < 0.15)
}

// An instance comes back to a fleet that has given it up, and the others are cut off from
// the lender before they hear of it. Parts dealt by the new count alone were more than the
// whole: 1.5 times the rate with two instances.
func TestPartsAreNeverMoreThanTheWhole(t *testing.T) {
	is := is.New(t)
	const rate = 20000.0
	f := newFleet(2, rate, rate)
	f.lender.Reset(f.now, Note{Instances: []galenastair.InstanceID{"0", "1"}})
	for range 10 {
		f.now = f.now.Add(300 * time.Millisecond)
		f.exchange(0)
		f.exchange(1)
	}
	is.Equal(f.shares[0].part, equalPart(2))
	for range 30 { // the second is cut off, and given up
		f.now = f.now.Add(300 * time.Millisecond)
		f.exchange(0)
		f.shares[1].MissLender(f.now)
	}
	is.Equal(f.shares[0].part, Part(1))
	f.exchange(1)
	is.Equal(f.shares[1].part, Part(0))
	f.exchange(0)
	f.exchange(1)
	is.Equal(f.shares[1].part, Part(0)) // the first may not have got the answer
	f.exchange(0)
	f.exchange(1)
	is.Equal(f.shares[0].part, equalPart(2))
	is.Equal(f.shares[1].part, equalPart(2))
}

// Two lenders at once, as when the store moves the duty while the holder is cut off from
// it: each moment of an instance's part goes to one of them only.
func TestTwoLendersShareOneRate(t *testing.T) {
	is := is.New(t)
	const rate = 20000.0
	now := start
	lenders := []*Lender{NewLender(terms), NewLender(terms)}
	for _, l := range lenders {
		l.SetContracts(contract(rate, rate))
		l.Reset(now, Note{Instances: []galenastair.InstanceID{"a"}})
	}
	s := NewShare(terms)
	s.SetContracts(now, contract(rate, rate))
	s.Presume(now, "a", Note{Instances: []galenastair.InstanceID{"a"}}, true)
	s.SetStanding(now, lenders[0].Heard(now, "a", s.Pass(now)))
	taken := 0.0
	for i := range 40 {
		now = now.Add(200 * time.Millisecond)
		l := lenders[i%2]
		s.SetStanding(now, l.Heard(now, "a", s.Pass(now)))
		taken += l.accounts["org"].upTo(1e9)
	}
	lent, _ := terms.Lending(contract(rate, rate).Organisation("org"))
	is.True(taken <= lent*8+1)
}

// What a window sums goes out of it a window later, slot by slot, and what is older does not
// come back; the sum of what was lent errs upwards and that of the time passed on downwards.
func TestWindowForgets(t *testing.T) {
	is := is.New(t)
	const length = 8 * time.Second
	var w window
	for at := time.Duration(0); at < 3*length; at += 100 * time.Millisecond {
		s := w.slot(at, length)
		s.lent += 10
		s.passed += 0.1
		if at < length+time.Second {
			continue
		}
		is.True(w.lent() >= 800 && w.lent() <= 830)
		is.True(w.passed() <= 8.0001 && w.passed() >= 7.6)
	}
	w.slot(10*length, length)
	is.Equal(w.lent(), 0.0)
	is.Equal(w.passed(), 0.0)
}

// Instances grant in advance, find a lender, lose it again within one window, and begin with a
// part of the reserve on top.
func TestNoReserveWithinAWindowOfAnAdvance(t *testing.T) {
	is := is.New(t)
	const rate = 20000.0
	now := start
	s := NewShare(terms)
	s.SetContracts(now, contract(rate, rate))
	s.Presume(now, "a", Note{Instances: []galenastair.InstanceID{"a"}, Moderate: []galenastair.Organisation{"org"}}, true)
	s.MissLender(now)
	for s.Take(now, "org", 100) {
	}
	now = now.Add(advance + time.Second)
	s.SetStanding(now, Standing{Fleet: 1, Part: 1})
	now = start.Add(terms.Window - time.Second)
	s.SetStanding(now, Standing{Fleet: 1, Part: 1})
	s.MissLender(now)
	is.True(!s.Take(now, "org", 100))
	// a window later the reserve is there again
	now = start.Add(terms.Window + time.Second)
	s.SetStanding(now, Standing{Fleet: 1, Part: 1})
	s.MissLender(now)
	is.True(s.Take(now, "org", 100))
}

// What instances kept of their own parts was spent beside the full bucket of the lender that
// they had found a second before.
func TestOwnPartIsVoidOnceTheLendersBucketHasFilled(t *testing.T) {
	is := is.New(t)
	const rate = 20000.0
	for _, after := range []time.Duration{0, untilLent - time.Millisecond, untilLent} {
		now := start
		s := NewShare(terms)
		s.SetContracts(now, contract(rate, rate))
		s.Presume(now, "a", Note{Instances: []galenastair.InstanceID{"a"}}, true)
		s.MissLender(now)
		now = now.Add(2 * time.Second)
		s.SetStanding(now, Standing{Fleet: 1, Part: 1})
		is.Equal(s.Take(now.Add(after), "org", 1000), after < untilLent)
	}
}

// An instance that was cut off long enough for its part to be dealt to others meets a lender that
// does not know the fleet yet, loses it, and spent its whole old part anew.
func TestPartThatNoLenderHasDealtAgainIsNotWhole(t *testing.T) {
	is := is.New(t)
	const rate = 20000.0
	now := start
	s := NewShare(terms)
	s.SetContracts(now, contract(rate, rate))
	s.SetStanding(now, Standing{Fleet: 2, Part: 0.5})
	own := func() float64 {
		s.MissLender(now)
		s.Take(now, "org", 1)
		return s.accounts["org"].own.rate
	}
	whole := own()
	now = now.Add(missedFor)
	spent := own()
	is.True(spent < whole/2)
	s.SetStanding(now, Standing{})
	now = now.Add(time.Second)
	is.Equal(own(), spent)
	s.SetStanding(now, Standing{Fleet: 2, Part: 0.5})
	now = now.Add(time.Second)
	is.Equal(own(), whole)
}
