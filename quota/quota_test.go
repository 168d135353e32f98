package quota

import (
	"math/rand/v2"
	"os"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/catalog"
)

var (
	start = time.Unix(1000, 0)
	terms = Terms{Window: 8 * time.Second, Over: 0.1, Slack: 17000}
)

func contract(rate, burst float64) *catalog.Catalog {
	return catalog.New(1, catalog.Limits{}, nil, nil, []*catalog.Organisation{{Name: "org", Rate: rate, Burst: burst, InTokens: true}})
}

// fleet is some instances and their lender over one clock.
type fleet struct {
	now    time.Time
	lender *Lender
	shares []*Share
	spent  []spent
	// note is what lenders have left on the platform.
	note  Note
	noted time.Time
	// used are the instances that have been started since then.
	used map[int]bool
}

type spent struct {
	at   time.Time
	cost float64
}

func newFleet(n int, rate, burst float64) *fleet {
	f := &fleet{now: start, lender: NewLender(terms), used: map[int]bool{}}
	f.lender.SetContracts(contract(rate, burst))
	f.lender.Reset(f.now, Note{})
	rng := rand.New(rand.NewPCG(uint64(n), 2))
	for range n {
		s := NewShare(terms, WithChance(rng.Float64))
		s.SetContracts(f.now, contract(rate, burst))
		f.shares = append(f.shares, s)
	}
	return f
}

// presume lets an instance that starts go by the note, as the keeper of the duty does.
func (f *fleet) presume(i int) {
	f.shares[i].Presume(f.now, id(i), f.note, !f.used[i])
	f.used[i] = true
}

func id(i int) galenastair.InstanceID { return galenastair.InstanceID(strconv.Itoa(i)) }

// exchange is one instance's exchange with the lender.
func (f *fleet) exchange(i int) {
	s := f.shares[i]
	asks, passed := s.Asks(f.now), s.Pass(f.now)
	told := f.lender.Heard(f.now, id(i), passed)
	for _, a := range asks {
		lent := f.lender.Lend(f.now, a)
		if lent > 0 {
			s.Lent(f.now, a.Organisation, lent)
		}
	}
	s.SetStanding(f.now, told)
	f.leaveNote()
}

// leaveNote is what the holder of the duty does each 0.45 s.
func (f *fleet) leaveNote() {
	n, ok := f.lender.Note(f.now)
	if !ok || f.now.Sub(f.noted) < 450*time.Millisecond {
		return
	}
	f.noted = f.now
	if reflect.DeepEqual(n, f.note) {
		return
	}
	f.note, f.used = n, map[int]bool{}
	f.lender.Noted(n)
}

// request charges one request at an instance, as the gateway does.
func (f *fleet) request(i int, cost float64, reached bool) bool {
	s := f.shares[i]
	ok := s.Take(f.now, "org", cost)
	if !ok && !s.Alone() {
		switch lacks, may := s.Lacks(f.now, "org", cost); {
		case !may:
		case !reached:
			s.MissLender(f.now)
			ok = s.Retake(f.now, "org", cost)
		default:
			s.Lent(f.now, "org", f.lender.LendAll(f.now, Ask{"org", lacks}))
			ok = s.Retake(f.now, "org", cost)
		}
	}
	if ok {
		f.spent = append(f.spent, spent{f.now, cost})
	}
	return ok
}

// most is the largest sum spent in any window.
func (f *fleet) most() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, s := range f.spent {
		sum += s.cost
		for f.spent[first].at.Before(s.at.Add(-terms.Window)) {
			sum -= f.spent[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

func bound(rate, burst float64) float64 {
	return (rate*terms.Window.Seconds()+burst)*(1+terms.Over) + terms.Slack
}

// An organisation sends far more than its rate through all instances while some are cut
// off from the lender, exchanges are lost, the lender changes and instances restart. In
// no window may it get more than the contract and the platform's slack.
//
// Seeds 1512 and 2423 found instances told a fleet without one that was cut off as the
// term began (4 and 9 % over), the four after them instances that spent their own parts
// until the lender missed them (1 to 4 % over), and 7642 instances that granted in advance
// twice, as they lost the lender and were started again (4 %). FLOODS sets how many seeds
// are played.
func TestNoWindowExceedsTheContract(t *testing.T) {
	floods := uint64(300)
	if s := os.Getenv("FLOODS"); s != "" {
		floods, _ = strconv.ParseUint(s, 10, 64)
	}
	seeds := []uint64{1512, 2423, 765, 1772, 5195, 5897, 7642, 9490, 11926, 50844}
	for seed := range floods {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 1))
		n := 2 + rng.IntN(8)
		rate := 4000 + rng.Float64()*86000
		f := flood(rng, n, rate)
		if got, most := f.most(), bound(rate, rate); got > most {
			t.Errorf("seed %d: %.0f tokens in a window, at most %.0f allowed (rate %.0f, %d instances)", seed, got, most, rate, n)
		}
	}
}

// flood plays 40 s of it.
func flood(rng *rand.Rand, n int, rate float64) *fleet {
	f := newFleet(n, rate, rate)
	next := make([]time.Time, n)
	cutUntil := make([]time.Time, n)
	lenderFrom := f.now
	// buckets fill while nobody asks; the flood that follows finds them full
	idleUntil := f.now.Add(time.Duration(rng.IntN(12)) * time.Second)
	for end := f.now.Add(40 * time.Second); f.now.Before(end); f.now = f.now.Add(20 * time.Millisecond) {
		switch rng.IntN(500) {
		case 0:
			cutUntil[rng.IntN(n)] = f.now.Add(4 * time.Second)
		case 1:
			// the lender dies; another begins some seconds later
			lenderFrom = f.now.Add(2500 * time.Millisecond)
			f.lender = NewLender(terms)
			f.lender.SetContracts(contract(rate, rate))
			f.lender.Reset(lenderFrom, f.note)
		case 2:
			i := rng.IntN(n)
			f.shares[i] = NewShare(terms, WithChance(rng.Float64))
			f.shares[i].SetContracts(f.now, contract(rate, rate))
			f.presume(i)
		case 3:
			idleUntil = f.now.Add(8 * time.Second)
		}
		for i := range n {
			reached := !f.now.Before(lenderFrom) && !f.now.Before(cutUntil[i])
			if !f.now.Before(next[i]) {
				next[i] = f.now.Add(300 * time.Millisecond)
				if reached {
					f.exchange(i)
				} else {
					f.shares[i].MissLender(f.now)
				}
			}
			for range 2 {
				if !f.now.Before(idleUntil) {
					f.request(i, 2390, reached)
				}
			}
		}
	}
	return f
}

// play sends requests at a part of the rate, spread over the instances by weight, and
// returns the share that was refused after the first second.
func play(f *fleet, weights []float64, rate, part, cost float64, alive func(time.Time) bool) float64 {
	next := make([]time.Time, len(weights))
	owed := make([]float64, len(weights))
	for i := range owed {
		// the instances' requests do not come in step
		owed[i] = cost * float64(i) / float64(len(weights))
	}
	refused, all := 0, 0
	for step := range 1500 {
		f.now = f.now.Add(10 * time.Millisecond)
		up := alive(f.now)
		for i, w := range weights {
			if !f.now.Before(next[i]) {
				next[i] = f.now.Add(300 * time.Millisecond)
				if up {
					f.exchange(i)
				} else {
					f.shares[i].MissLender(f.now)
				}
			}
			owed[i] += rate * part * w * 0.01
			if owed[i] < cost {
				continue
			}
			owed[i] -= cost
			ok := f.request(i, cost, up)
			if step < 100 {
				continue
			}
			all++
			if !ok {
				refused++
			}
		}
	}
	return float64(refused) / float64(all)
}

// An organisation within its rate is refused nothing, whether its callers come evenly or
// all to one instance, and whether its rate is large or a request takes seconds of it.
func TestNothingWithinRateIsRefused(t *testing.T) {
	even := []float64{1. / 6, 1. / 6, 1. / 6, 1. / 6, 1. / 6, 1. / 6}
	skewed := []float64{0.9, 0.02, 0.02, 0.02, 0.02, 0.02}
	up := func(time.Time) bool { return true }
	for name, weights := range map[string][]float64{"even": even, "skewed": skewed} {
		for _, rate := range []float64{4200, 20000, 90000} {
			t.Run(name+" "+strconv.Itoa(int(rate)), func(t *testing.T) {
				is := is.New(t)
				is.Equal(play(newFleet(6, rate, rate), weights, rate, 0.9, 2390, up), 0.0)
			})
		}
	}
}

// The lender is away for three seconds. Most of what comes within the rate is served
// all the same.
func TestMostIsServedWithoutLender(t *testing.T) {
	is := is.New(t)
	down := func(now time.Time) bool {
		since := now.Sub(start)
		return since < 6*time.Second || since > 9*time.Second
	}
	even := []float64{1. / 6, 1. / 6, 1. / 6, 1. / 6, 1. / 6, 1. / 6}
	is.True(play(newFleet(6, 40000, 40000), even, 40000, 0.55, 2390, down) < 0.03)
}

// A limit that is lowered binds at once: what was lent under the higher one is void.
func TestLoweredLimitVoidsLoans(t *testing.T) {
	is := is.New(t)
	s := NewShare(terms)
	s.SetContracts(start, contract(50000, 50000))
	s.SetStanding(start, Standing{Fleet: 1, Part: 1})
	s.Lent(start, "org", 20000)
	s.SetContracts(start, contract(1000, 1000))
	is.True(!s.Take(start, "org", 2000))
}

// A loan that is not spent in time is void, and goes back to the lender.
func TestLoansGoBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 10000, 10000)
	f.now = f.now.Add(5 * time.Second)
	f.exchange(0)
	before := f.lender.accounts["org"].level
	f.shares[0].Lent(f.now, "org", f.lender.LendAll(f.now, Ask{"org", 5000}))
	f.now = f.now.Add(loanLife)
	f.shares[0].SetStanding(f.now, Standing{Fleet: 1, Part: 1})
	is.True(!f.shares[0].Take(f.now, "org", 5000))
	f.exchange(0)
	is.True(f.lender.accounts["org"].level >= before)
}

// An organisation without a limit is never refused.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	s := NewShare(terms)
	s.SetContracts(start, contract(0, 0))
	is.True(s.Take(start, "org", 1e9))
}

// An instance starts, finds no lender, and then learns of the contracts: the first
// requests are served by its part of the reserve. They were all refused, since the part
// was dealt before there were contracts.
func TestContractsThatComeAfterTheLenderIsMissed(t *testing.T) {
	is := is.New(t)
	s := NewShare(terms)
	s.MissLender(start)
	s.SetContracts(start, contract(200000, 200000))
	is.True(s.Take(start, "org", 500))
}

// An operator lowers an organisation's rate to below what it sends. In each window it
// asks for no more than rate and burst allow there, and yet a quarter of its requests
// were refused, the large ones first: the bucket gave the burst once and then the rate
// alone. Seen failing with the bare rate and burst (0.25 refused).
func TestSteadyDemandGetsTheBurstOfEachWindow(t *testing.T) {
	is := is.New(t)
	const rate, burst, asked = 7400.0, 26700.0, 10000.0
	is.True(asked*terms.Window.Seconds() < rate*terms.Window.Seconds()+burst)
	f := newFleet(3, rate, burst)
	refused := play(f, []float64{0.5, 0.3, 0.2}, asked, 1, 1500, func(time.Time) bool { return true })
	is.True(refused < 0.03)
	is.True(f.most() <= bound(rate, burst))
}

// A platform bounds no quotas and names no window. The burst spread over it would come in
// at an infinite rate, and no organisation had a limit.
func TestNoWindowLendsTheBareQuota(t *testing.T) {
	is := is.New(t)
	rate, size := Terms{}.Lending(&catalog.Organisation{Rate: 100, Burst: 500})
	is.Equal(rate, 100.0)
	is.Equal(size, 500.0)
}

// A request is larger than the bucket but within the burst. It waits for a full bucket
// and is served; refused each time it would never come through.
func TestRequestLargerThanTheBucketIsServed(t *testing.T) {
	is := is.New(t)
	const rate, burst = 1000.0, 60000.0
	f := newFleet(2, rate, burst)
	_, size := terms.Lending(&catalog.Organisation{Rate: rate, Burst: burst})
	is.True(size < burst)
	for range 200 {
		f.now = f.now.Add(300 * time.Millisecond)
		f.exchange(0)
	}
	is.True(f.request(0, burst, true))
	is.True(!f.request(0, 1000, true)) // what it lacked comes in first
	is.True(f.most() <= bound(rate, burst))
}

// The lender is gone, and each instance's own part is smaller than a request: every one
// was refused until the next lender came. Together they may spend the rate for some seconds.
// Seen failing with own.take in place of own.draw (nothing served).
func TestInstancesAloneServeLargeRequests(t *testing.T) {
	is := is.New(t)
	const rate, cost, instances = 100000.0, 8000.0, 30
	f := newFleet(instances, rate, rate)
	weights := make([]float64, instances)
	for i := range weights {
		weights[i] = 1.0 / instances
	}
	gone := f.now.Add(5 * time.Second)
	play(f, weights, rate, 1, cost, func(now time.Time) bool { return now.Before(gone) })
	alone := 0.0
	for _, s := range f.spent {
		if s.at.After(gone.Add(loanLife)) {
			alone += s.cost
		}
	}
	is.True(alone/8.8 > rate/4)
	is.True(f.most() <= bound(rate, rate))
}
