package play

import (
	"fmt"
	"math/rand/v2"
	"time"

	"galenastair"
	"galenastair/account"
	"galenastair/boottime"
	"galenastair/catalog"
	"galenastair/quota"
)

const (
	// Step is the time by which one step advances the clock.
	Step = 10 * time.Millisecond
	// exchangeInterval is how often an instance exchanges with the leader.
	exchangeInterval = 600 * time.Millisecond
	// storeDelay is the time that the leader takes to store the table on the platform.
	storeDelay = 300 * time.Millisecond
	// leaderStartDelay is the least time until a new leader starts; the longest is twice that.
	leaderStartDelay = 1600 * time.Millisecond
	// shutdownTime is the time from an instance's stop signal to its end.
	shutdownTime = 3 * time.Second
	// org is the simulated organisation.
	org galenastair.Organisation = "org"
)

// Tolerance is the tolerance of the simulated platform.
var Tolerance = quota.Tolerance{Window: 8 * time.Second, Ratio: 0.1, Slack: 17000}

// Contract is the organisation's contract, in tokens.
type Contract struct{ Rate, Burst float64 }

// Bound returns the most that the organisation may get in any window.
func (c Contract) Bound() float64 {
	return (c.Rate*Tolerance.Window.Seconds()+c.Burst)*(1+Tolerance.Ratio) + Tolerance.Slack
}

// Fleet is a set of instances with their leader and what it stores on the platform.
type Fleet struct {
	Now         boottime.Time
	Rand        *rand.Rand
	Instances   []*Instance
	contract    Contract
	assigner    *account.Assigner
	storedTable account.Table
	storedAt    boottime.Time
	leaderAt    boottime.Time
	granted     []charge
	// Calls counts the charges that one instance sent to another.
	Calls int
}

// Instance is one process.
type Instance struct {
	address      string
	accounts     *account.Accounts
	nextExchange boottime.Time
	// partitionedUntil is the time until which no other instance reaches this one; its own callers
	// do.
	partitionedUntil boottime.Time
	// downUntil is the time until which its process does not run.
	downUntil boottime.Time
	// stoppingSince is when it was told to stop; 0 if it was not.
	stoppingSince boottime.Time
}

type charge struct {
	at   boottime.Time
	cost float64
}

// New returns a fleet in which no instance has exchanged with the leader yet.
func New(seed uint64, instances int, c Contract) *Fleet {
	f := &Fleet{
		Now:      boottime.Time(time.Hour),
		Rand:     rand.New(rand.NewPCG(seed, 3)),
		contract: c,
		assigner: account.NewAssigner(),
	}
	f.assigner.Reset(f.Now, account.Table{})
	for i := range instances {
		x := &Instance{address: fmt.Sprintf("10.0.0.%d:1", i)}
		f.Instances = append(f.Instances, x)
		f.start(x)
	}
	return f
}

// Settle advances the clock by 3 s, until the organisation's owner has been confirmed for some
// time.
func (f *Fleet) Settle() {
	for range 300 {
		f.Step()
	}
}

// RandomDuration returns a random duration below d.
func (f *Fleet) RandomDuration(d time.Duration) time.Duration {
	return time.Duration(f.Rand.Int64N(int64(d)))
}

func (f *Fleet) start(x *Instance) {
	x.accounts = account.New(x.address, Tolerance)
	x.accounts.SetContracts(catalog.New(1, catalog.Limits{}, nil, nil, []*catalog.Organisation{
		{Name: org, Rate: f.contract.Rate, Burst: f.contract.Burst, CountsTokens: true},
	}))
	x.nextExchange = max(f.Now, x.downUntil).Add(f.RandomDuration(exchangeInterval))
	x.stoppingSince = 0
}

// Step advances the clock by one step.
func (f *Fleet) Step() {
	f.Now = f.Now.Add(Step)
	if f.Now < f.leaderAt {
		return
	}
	for _, x := range f.Instances {
		if x.stoppingSince != 0 && f.Now.Sub(x.stoppingSince) > shutdownTime {
			f.Restart(x, f.RandomDuration(shutdownTime))
		}
		if f.Now >= x.nextExchange && f.Now >= x.partitionedUntil && f.Now >= x.downUntil {
			f.exchange(x)
		}
	}
	if t, ok := f.assigner.NextTable(f.Now); ok && t.Version != f.storedTable.Version {
		f.storedTable, f.storedAt = t, f.Now
	}
	if f.storedAt != 0 && f.Now.Sub(f.storedAt) > storeDelay {
		f.assigner.TableStored(f.Now, f.storedTable)
	}
}

func (f *Fleet) exchange(x *Instance) {
	x.nextExchange = f.Now.Add(exchangeInterval)
	f.assigner.RecordReport(f.Now, x.address, x.accounts.Table().Version, x.stoppingSince != 0)
	if t := f.assigner.Table(); t.Version != x.accounts.Table().Version {
		x.accounts.SetTable(t)
	}
	x.accounts.ConfirmGrants(f.Now, f.Now, f.assigner.Grants(f.Now, x.address))
}

// ReplaceLeader starts another leader from the stored table after some seconds, unless one is
// already being started.
func (f *Fleet) ReplaceLeader() {
	if f.Now <= f.leaderAt {
		return
	}
	f.leaderAt = f.Now.Add(leaderStartDelay + f.RandomDuration(leaderStartDelay))
	f.assigner.Reset(f.leaderAt, f.storedTable)
}

// Partition separates an instance from all others for a time.
func (f *Fleet) Partition(x *Instance, d time.Duration) { x.partitionedUntil = f.Now.Add(d) }

// Restart kills an instance's process, and starts another one after a time.
func (f *Fleet) Restart(x *Instance, d time.Duration) {
	x.downUntil = f.Now.Add(d)
	f.start(x)
}

// Stop tells an instance to stop, which takes shutdownTime, after which it is restarted.
func (f *Fleet) Stop(x *Instance) {
	if x.stoppingSince == 0 && f.Up(x) {
		x.stoppingSince = f.Now
	}
}

// Up reports whether an instance's process runs.
func (f *Fleet) Up(x *Instance) bool { return f.Now >= x.downUntil }

// Owner returns the organisation's owner as an instance knows it; nil if it knows none.
func (f *Fleet) Owner(known *Instance) *Instance {
	owner := known.accounts.Table().Owner(org)
	for _, x := range f.Instances {
		if x.address == owner {
			return x
		}
	}
	return nil
}

// RandomInstance returns a random instance.
func (f *Fleet) RandomInstance() *Instance { return f.Instances[f.Rand.IntN(len(f.Instances))] }

// Charge charges a request that arrives at an instance, and reports whether it is admitted.
func (f *Fleet) Charge(at *Instance, cost float64) bool {
	owner := f.Owner(at)
	if !f.Up(at) || owner == nil || !f.Up(owner) {
		return false
	}
	if owner != at {
		f.Calls++
		if f.Now < owner.partitionedUntil || f.Now < at.partitionedUntil {
			return false
		}
	}
	if !owner.accounts.Charge(f.Now, org, cost).Granted {
		return false
	}
	f.granted = append(f.granted, charge{f.Now, cost})
	return true
}

// MaxInWindow returns the most that was granted in any window.
func (f *Fleet) MaxInWindow() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, s := range f.granted {
		sum += s.cost
		for s.at.Sub(f.granted[first].at) >= Tolerance.Window {
			sum -= f.granted[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}
