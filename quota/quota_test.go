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
	start     = time.Unix(1000, 0)
	tolerance = Tolerance{Window: 8 * time.Second, Ratio: 0.1, Slack: 17000}
)

func contract(rate, burst float64) *catalog.Catalog {
	return catalog.New(1, catalog.Limits{}, nil, nil, []*catalog.Organisation{{Name: "org", Rate: rate, Burst: burst, CountsTokens: true}})
}

// fleet is a set of instances and their lender, driven by one clock.
type fleet struct {
	now       time.Time
	lender    *Lender
	borrowers []*Borrower
	spent     []spent
	// checkpoint is what lenders have stored on the platform.
	checkpoint   Checkpoint
	checkpointAt time.Time
	// restored holds the instances that have restarted since the checkpoint was stored.
	restored map[int]bool
}

type spent struct {
	at   time.Time
	cost float64
}

func newFleet(n int, rate, burst float64) *fleet {
	f := &fleet{now: start, lender: NewLender(tolerance), restored: map[int]bool{}}
	f.lender.SetContracts(contract(rate, burst))
	f.lender.Reset(f.now, Checkpoint{})
	rng := rand.New(rand.NewPCG(uint64(n), 2))
	for range n {
		s := NewBorrower(tolerance, WithRandom(rng.Float64))
		s.SetContracts(f.now, contract(rate, burst))
		f.borrowers = append(f.borrowers, s)
	}
	return f
}

// restore applies the checkpoint to an instance that starts, as the lease elector does.
func (f *fleet) restore(i int) {
	f.borrowers[i].Restore(f.now, id(i), f.checkpoint, !f.restored[i])
	f.restored[i] = true
}

func id(i int) galenastair.InstanceID { return galenastair.InstanceID(strconv.Itoa(i)) }

// exchange runs one instance's exchange with the lender.
func (f *fleet) exchange(i int) {
	s := f.borrowers[i]
	requests, contribution := s.LoanRequests(f.now), s.TakeContribution(f.now)
	allocation := f.lender.Contribute(f.now, id(i), contribution)
	for _, a := range requests {
		lent := f.lender.Lend(f.now, a)
		if lent > 0 {
			s.AddLoan(f.now, a.Organisation, lent)
		}
	}
	s.SetAllocation(f.now, allocation)
	f.saveCheckpoint()
}

// saveCheckpoint stores the checkpoint if it has changed, as the lease holder does every 0.45 s.
func (f *fleet) saveCheckpoint() {
	n, ok := f.lender.Checkpoint(f.now)
	if !ok || f.now.Sub(f.checkpointAt) < 450*time.Millisecond {
		return
	}
	f.checkpointAt = f.now
	if reflect.DeepEqual(n, f.checkpoint) {
		return
	}
	f.checkpoint, f.restored = n, map[int]bool{}
	f.lender.CheckpointStored(n)
}

// request charges one request at an instance, as the gateway does.
func (f *fleet) request(i int, cost float64, reached bool) bool {
	s := f.borrowers[i]
	ok := s.Take(f.now, "org", cost)
	if !ok && !s.InFallback() {
		switch shortfall, mayBorrow := s.Shortfall(f.now, "org", cost); {
		case !mayBorrow:
		case !reached:
			s.ReportLenderUnavailable(f.now)
			ok = s.RetryTake(f.now, "org", cost)
		default:
			s.AddLoan(f.now, "org", f.lender.LendExact(f.now, LoanRequest{"org", shortfall}))
			ok = s.RetryTake(f.now, "org", cost)
		}
	}
	if ok {
		f.spent = append(f.spent, spent{f.now, cost})
	}
	return ok
}

// maxInWindow returns the largest sum spent in any window.
func (f *fleet) maxInWindow() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, s := range f.spent {
		sum += s.cost
		for f.spent[first].at.Before(s.at.Add(-tolerance.Window)) {
			sum -= f.spent[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

func bound(rate, burst float64) float64 {
	return (rate*tolerance.Window.Seconds()+burst)*(1+tolerance.Ratio) + tolerance.Slack
}

// An organisation sends far more than its rate through all instances while some are partitioned
// from the lender, exchanges are lost, the lender changes and instances restart. In no window may
// it get more than the contract plus the platform's tolerance.
//
// Among the fixed seeds, 1512 and 2423 exceeded the bound because the fleet size told to instances
// did not include one that was partitioned as the term began (4 and 9 % over). In the next four,
// instances spent their own fractions until the lender's timeout for them (1 to 4 % over). In
// 7642, instances granted in advance twice, when they lost the lender and again after a restart
// (4 % over). FLOODS sets the number of further seeds.
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
		f := overload(rng, n, rate)
		if got, most := f.maxInWindow(), bound(rate, rate); got > most {
			t.Errorf("seed %d: %.0f tokens in a window, at most %.0f allowed (rate %.0f, %d instances)", seed, got, most, rate, n)
		}
	}
}

// overload runs 40 s of excessive requests and faults.
func overload(rng *rand.Rand, n int, rate float64) *fleet {
	f := newFleet(n, rate, rate)
	next := make([]time.Time, n)
	cutUntil := make([]time.Time, n)
	lenderFrom := f.now
	// buckets fill while idle, so the requests that follow find them full
	idleUntil := f.now.Add(time.Duration(rng.IntN(12)) * time.Second)
	for end := f.now.Add(40 * time.Second); f.now.Before(end); f.now = f.now.Add(20 * time.Millisecond) {
		switch rng.IntN(500) {
		case 0:
			cutUntil[rng.IntN(n)] = f.now.Add(4 * time.Second)
		case 1:
			// the lender dies; another one starts 2.5 s later
			lenderFrom = f.now.Add(2500 * time.Millisecond)
			f.lender = NewLender(tolerance)
			f.lender.SetContracts(contract(rate, rate))
			f.lender.Reset(lenderFrom, f.checkpoint)
		case 2:
			i := rng.IntN(n)
			f.borrowers[i] = NewBorrower(tolerance, WithRandom(rng.Float64))
			f.borrowers[i].SetContracts(f.now, contract(rate, rate))
			f.restore(i)
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
					f.borrowers[i].ReportLenderUnavailable(f.now)
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

// runLoad sends requests at a fraction of the rate, spread over the instances by weight, and
// returns the fraction that was refused after the first second.
func runLoad(f *fleet, weights []float64, rate, load, cost float64, alive func(time.Time) bool) float64 {
	next := make([]time.Time, len(weights))
	owed := make([]float64, len(weights))
	for i := range owed {
		// stagger the instances' requests
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
					f.borrowers[i].ReportLenderUnavailable(f.now)
				}
			}
			owed[i] += rate * load * w * 0.01
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

// An organisation within its rate is refused nothing, whether its callers are spread evenly or use
// mostly one instance, and whether its rate is large or one request takes seconds of it.
func TestNothingWithinRateIsRefused(t *testing.T) {
	even := []float64{1. / 6, 1. / 6, 1. / 6, 1. / 6, 1. / 6, 1. / 6}
	skewed := []float64{0.9, 0.02, 0.02, 0.02, 0.02, 0.02}
	up := func(time.Time) bool { return true }
	for name, weights := range map[string][]float64{"even": even, "skewed": skewed} {
		for _, rate := range []float64{4200, 20000, 90000} {
			t.Run(name+" "+strconv.Itoa(int(rate)), func(t *testing.T) {
				is := is.New(t)
				is.Equal(runLoad(newFleet(6, rate, rate), weights, rate, 0.9, 2390, up), 0.0)
			})
		}
	}
}

// The lender is unavailable for three seconds. Most requests within the rate must still be served.
func TestMostIsServedWithoutLender(t *testing.T) {
	is := is.New(t)
	down := func(now time.Time) bool {
		since := now.Sub(start)
		return since < 6*time.Second || since > 9*time.Second
	}
	even := []float64{1. / 6, 1. / 6, 1. / 6, 1. / 6, 1. / 6, 1. / 6}
	is.True(runLoad(newFleet(6, 40000, 40000), even, 40000, 0.55, 2390, down) < 0.03)
}

// A lowered limit takes effect at once: loans made under the higher limit are void.
func TestLoweredLimitVoidsLoans(t *testing.T) {
	is := is.New(t)
	s := NewBorrower(tolerance)
	s.SetContracts(start, contract(50000, 50000))
	s.SetAllocation(start, Allocation{FleetSize: 1, Fraction: 1})
	s.AddLoan(start, "org", 20000)
	s.SetContracts(start, contract(1000, 1000))
	is.True(!s.Take(start, "org", 2000))
}

// A loan that is not spent in time expires and is returned to the lender.
func TestUnspentLoansAreReturned(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 10000, 10000)
	f.now = f.now.Add(5 * time.Second)
	f.exchange(0)
	before := f.lender.accounts["org"].level
	f.borrowers[0].AddLoan(f.now, "org", f.lender.LendExact(f.now, LoanRequest{"org", 5000}))
	f.now = f.now.Add(loanTTL)
	f.borrowers[0].SetAllocation(f.now, Allocation{FleetSize: 1, Fraction: 1})
	is.True(!f.borrowers[0].Take(f.now, "org", 5000))
	f.exchange(0)
	is.True(f.lender.accounts["org"].level >= before)
}

// An organisation without a limit is never refused.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	s := NewBorrower(tolerance)
	s.SetContracts(start, contract(0, 0))
	is.True(s.Take(start, "org", 1e9))
}

// An instance starts, finds no lender, and then receives the contracts. Its first requests must be
// served from its fraction of the reserve. They were all refused when the reserve was assigned
// before there were contracts.
func TestContractsArriveAfterFallbackStarts(t *testing.T) {
	is := is.New(t)
	s := NewBorrower(tolerance)
	s.ReportLenderUnavailable(start)
	s.SetContracts(start, contract(200000, 200000))
	is.True(s.Take(start, "org", 500))
}

// An operator lowers an organisation's rate to below what it sends. In each window the
// organisation asks for no more than rate and burst allow. With a bucket of the plain rate and
// burst, which grants the burst only once, a quarter of its requests was refused, the large ones
// first.
func TestSteadyDemandGetsTheBurstOfEachWindow(t *testing.T) {
	is := is.New(t)
	const rate, burst, asked = 7400.0, 26700.0, 10000.0
	is.True(asked*tolerance.Window.Seconds() < rate*tolerance.Window.Seconds()+burst)
	f := newFleet(3, rate, burst)
	refused := runLoad(f, []float64{0.5, 0.3, 0.2}, asked, 1, 1500, func(time.Time) bool { return true })
	is.True(refused < 0.03)
	is.True(f.maxInWindow() <= bound(rate, burst))
}

// A platform without a window has no tolerance. Spreading the burst over a window of zero length
// would give an infinite rate, so that no organisation had a limit.
func TestNoWindowLendsTheBareQuota(t *testing.T) {
	is := is.New(t)
	rate, size := Tolerance{}.LendingBucket(&catalog.Organisation{Rate: 100, Burst: 500})
	is.Equal(rate, 100.0)
	is.Equal(size, 500.0)
}

// A request is larger than the bucket but within the burst. It is served once the bucket is full;
// otherwise it would never be admitted.
func TestRequestLargerThanTheBucketIsServed(t *testing.T) {
	is := is.New(t)
	const rate, burst = 1000.0, 60000.0
	f := newFleet(2, rate, burst)
	_, size := tolerance.LendingBucket(&catalog.Organisation{Rate: rate, Burst: burst})
	is.True(size < burst)
	for range 200 {
		f.now = f.now.Add(300 * time.Millisecond)
		f.exchange(0)
	}
	is.True(f.request(0, burst, true))
	is.True(!f.request(0, 1000, true)) // its debt is repaid first
	is.True(f.maxInWindow() <= bound(rate, burst))
}

// The lender is lost, and each instance's own fraction earns less than one request. Together the
// instances may still spend the rate for some seconds. Without credit in the local buckets, every
// request was refused until the next lender started.
func TestInstancesAloneServeLargeRequests(t *testing.T) {
	is := is.New(t)
	const rate, cost, instances = 100000.0, 8000.0, 30
	f := newFleet(instances, rate, rate)
	weights := make([]float64, instances)
	for i := range weights {
		weights[i] = 1.0 / instances
	}
	gone := f.now.Add(5 * time.Second)
	runLoad(f, weights, rate, 1, cost, func(now time.Time) bool { return now.Before(gone) })
	inFallback := 0.0
	for _, s := range f.spent {
		if s.at.After(gone.Add(loanTTL)) {
			inFallback += s.cost
		}
	}
	is.True(inFallback/8.8 > rate/4)
	is.True(f.maxInWindow() <= bound(rate, rate))
}
