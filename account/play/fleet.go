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
	// Step is the time that one step of the clock takes.
	Step = 10 * time.Millisecond
	// exchangePeriod is how often an instance exchanges with the leader.
	exchangePeriod = 600 * time.Millisecond
	// noteTime is what the leader takes to leave the table on the platform.
	noteTime = 300 * time.Millisecond
	// leaderTime is what a new leader takes to be there at least, and as long again at most.
	leaderTime = 1600 * time.Millisecond
	// stopTime is from an instance's signal to stop to its end.
	stopTime = 3 * time.Second
	// org is the organisation that is played.
	org galenastair.Organisation = "org"
)

// Terms are the platform's bounds that are played.
var Terms = quota.Terms{Window: 8 * time.Second, Over: 0.1, Slack: 17000}

// Contract is the organisation's, in tokens.
type Contract struct{ Rate, Burst float64 }

// Bound is the most that it may get in any window.
func (c Contract) Bound() float64 {
	return (c.Rate*Terms.Window.Seconds()+c.Burst)*(1+Terms.Over) + Terms.Slack
}

// Fleet is instances and what is left on the platform.
type Fleet struct {
	Now       boottime.Time
	Rand      *rand.Rand
	Instances []*Instance
	contract  Contract
	assigner  *account.Assigner
	note      account.Table
	notedAt   boottime.Time
	leaderAt  boottime.Time
	spent     []charge
	// Calls counts the charges that one instance asked of another.
	Calls int
}

// Instance is one process.
type Instance struct {
	address  string
	accounts *account.Accounts
	next     boottime.Time
	// cut is until when nobody reaches it; its own callers do.
	cut boottime.Time
	// down is until when its process does not run.
	down boottime.Time
	// stops is from when it has been told to stop; 0 if it has not.
	stops boottime.Time
}

type charge struct {
	at   boottime.Time
	cost float64
}

// New returns a fleet of which no instance has met the leader.
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

// Settle runs until the organisation's owner has been confirmed for some time.
func (f *Fleet) Settle() {
	for range 300 {
		f.Step()
	}
}

// UpTo draws a time.
func (f *Fleet) UpTo(d time.Duration) time.Duration { return time.Duration(f.Rand.Int64N(int64(d))) }

func (f *Fleet) start(x *Instance) {
	x.accounts = account.New(x.address, Terms)
	x.accounts.SetContracts(catalog.New(1, catalog.Limits{}, nil, nil, []*catalog.Organisation{
		{Name: org, Rate: f.contract.Rate, Burst: f.contract.Burst, InTokens: true},
	}))
	x.next = max(f.Now, x.down).Add(f.UpTo(exchangePeriod))
	x.stops = 0
}

// Step moves the clock on.
func (f *Fleet) Step() {
	f.Now = f.Now.Add(Step)
	if f.Now < f.leaderAt {
		return
	}
	for _, x := range f.Instances {
		if x.stops != 0 && f.Now.Sub(x.stops) > stopTime {
			f.Restart(x, f.UpTo(stopTime))
		}
		if f.Now >= x.next && f.Now >= x.cut && f.Now >= x.down {
			f.exchange(x)
		}
	}
	if t, ok := f.assigner.Next(f.Now); ok && t.Version != f.note.Version {
		f.note, f.notedAt = t, f.Now
	}
	if f.notedAt != 0 && f.Now.Sub(f.notedAt) > noteTime {
		f.assigner.Noted(f.Now, f.note)
	}
}

func (f *Fleet) exchange(x *Instance) {
	x.next = f.Now.Add(exchangePeriod)
	f.assigner.Heard(f.Now, x.address, x.accounts.Table().Version, x.stops != 0)
	if t := f.assigner.Table(); t.Version != x.accounts.Table().Version {
		x.accounts.SetTable(t)
	}
	x.accounts.Confirm(f.Now, f.Now, f.assigner.Grants(f.Now, x.address))
}

// ReplaceLeader has another lead after some seconds, by the note, unless one is being waited for.
func (f *Fleet) ReplaceLeader() {
	if f.Now <= f.leaderAt {
		return
	}
	f.leaderAt = f.Now.Add(leaderTime + f.UpTo(leaderTime))
	f.assigner.Reset(f.leaderAt, f.note)
}

// Cut has nobody reach an instance for a time.
func (f *Fleet) Cut(x *Instance, d time.Duration) { x.cut = f.Now.Add(d) }

// Restart kills an instance's process, and starts another after a time.
func (f *Fleet) Restart(x *Instance, d time.Duration) {
	x.down = f.Now.Add(d)
	f.start(x)
}

// Stop tells an instance to stop, which takes it some seconds, and has it started again.
func (f *Fleet) Stop(x *Instance) {
	if x.stops == 0 && f.Up(x) {
		x.stops = f.Now
	}
}

// Up says whether an instance's process runs.
func (f *Fleet) Up(x *Instance) bool { return f.Now >= x.down }

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

// Any draws an instance.
func (f *Fleet) Any() *Instance { return f.Instances[f.Rand.IntN(len(f.Instances))] }

// Charge asks for a request that comes in at an instance, and says whether it is admitted.
func (f *Fleet) Charge(at *Instance, cost float64) bool {
	owner := f.Owner(at)
	if !f.Up(at) || owner == nil || !f.Up(owner) {
		return false
	}
	if owner != at {
		f.Calls++
		if f.Now < owner.cut || f.Now < at.cut {
			return false
		}
	}
	if !owner.accounts.Charge(f.Now, org, cost).Granted {
		return false
	}
	f.spent = append(f.spent, charge{f.Now, cost})
	return true
}

// Most is the most that was granted in any window.
func (f *Fleet) Most() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, s := range f.spent {
		sum += s.cost
		for s.at.Sub(f.spent[first].at) >= Terms.Window {
			sum -= f.spent[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}
