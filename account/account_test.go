package account

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/boottime"
	"galenastair/catalog"
	"galenastair/quota"
)

const begun = boottime.Time(time.Hour)

var terms = quota.Terms{Window: 8 * time.Second, Over: 0.1, Slack: 17000}

func contract(o galenastair.Organisation, rate, burst float64) *catalog.Catalog {
	return catalog.New(1, catalog.Limits{}, nil, nil, []*catalog.Organisation{{Name: o, Rate: rate, Burst: burst, InTokens: true}})
}

// fleet plays instances and their leader, without sockets, in steps of 10 ms.
type fleet struct {
	t         *testing.T
	rng       *rand.Rand
	now       boottime.Time
	assigner  *Assigner
	note      Table
	noteAt    boottime.Time
	leaderAt  boottime.Time
	instances []*instance
	spent     []spent
}

type instance struct {
	address  string
	accounts *Accounts
	next     boottime.Time
	// lost is until when neither the leader nor others reach it; it still charges for itself.
	lost boottime.Time
	// down is until when its process does not run.
	down boottime.Time
}

type spent struct {
	at   boottime.Time
	cost float64
}

const org galenastair.Organisation = "org"

func newFleet(t *testing.T, seed uint64, n int, rate, burst float64) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: begun, assigner: NewAssigner()}
	f.assigner.Reset(f.now, Table{})
	for i := range n {
		x := &instance{address: fmt.Sprintf("10.0.0.%d:1", i)}
		f.instances = append(f.instances, x)
		f.start(x, rate, burst)
	}
	return f
}

func (f *fleet) start(x *instance, rate, burst float64) {
	x.accounts = New(x.address, terms)
	x.accounts.SetContracts(contract(org, rate, burst))
	x.next = f.now.Add(f.upTo(600 * time.Millisecond))
}

func (f *fleet) upTo(d time.Duration) time.Duration { return time.Duration(f.rng.Int64N(int64(d))) }

// step exchanges with the leader where it is due, and leaves the table.
func (f *fleet) step() {
	f.now = f.now.Add(10 * time.Millisecond)
	if f.now < f.leaderAt {
		return
	}
	for _, x := range f.instances {
		if f.now < x.next || f.now < x.lost || f.now < x.down {
			continue
		}
		x.next = f.now.Add(600 * time.Millisecond)
		f.assigner.Heard(f.now, x.address, x.accounts.Table().Version, false)
		if t := f.assigner.Table(); t.Version != x.accounts.Table().Version {
			x.accounts.SetTable(t)
		}
		x.accounts.Confirm(f.now, f.now, f.assigner.Grants(f.now, x.address))
	}
	if t, ok := f.assigner.Next(f.now); ok && t.Version != f.note.Version {
		f.note, f.noteAt = t, f.now
	}
	if f.noteAt != 0 && f.now.Sub(f.noteAt) > 300*time.Millisecond {
		f.assigner.Noted(f.now, f.note)
	}
}

// replaceLeader has another lead after some seconds, by the note.
func (f *fleet) replaceLeader() {
	f.leaderAt = f.now.Add(1600*time.Millisecond + f.upTo(2*time.Second))
	f.assigner.Reset(f.leaderAt, f.note)
}

// charge asks for a request that came in at one instance.
func (f *fleet) charge(at *instance, cost float64) bool {
	if f.now < at.down {
		return false
	}
	owner := at.accounts.Table().Owner(org)
	for _, x := range f.instances {
		if x.address != owner || f.now < x.down || x != at && (f.now < x.lost || f.now < at.lost) {
			continue
		}
		if x.accounts.Charge(f.now, org, cost).Granted {
			f.spent = append(f.spent, spent{f.now, cost})
			return true
		}
	}
	return false
}

// most is the most that was granted in any window.
func (f *fleet) most() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, s := range f.spent {
		sum += s.cost
		for s.at.Sub(f.spent[first].at) >= terms.Window {
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

// settle runs until the organisation has a confirmed owner.
func (f *fleet) settle() {
	for range 300 {
		f.step()
	}
	if f.instances[0].accounts.Table().Owner(org) == "" {
		f.t.Fatal("no owner")
	}
}

// An organisation floods hundreds of instances while owners and leaders are cut off, killed
// and started again, and gets more than its contract.
func TestNoWindowIsOverTheContract(t *testing.T) {
	const rate, burst = 33000, 33000
	for seed := range uint64(300) {
		f := newFleet(t, seed, 40, rate, burst)
		f.settle()
		for range 3000 {
			f.step()
			x := f.instances[f.rng.IntN(len(f.instances))]
			if f.rng.IntN(2) == 0 {
				for _, y := range f.instances {
					if y.address == x.accounts.Table().Owner(org) {
						x = y
					}
				}
			}
			switch f.rng.IntN(150) {
			case 0:
				x.lost = f.now.Add(f.upTo(9 * time.Second))
			case 1:
				x.down = f.now.Add(f.upTo(3 * time.Second))
				f.start(x, rate, burst)
				x.next = max(x.next, x.down)
			case 2:
				if f.now > f.leaderAt {
					f.replaceLeader()
				}
			}
			for range 3 {
				f.charge(f.instances[f.rng.IntN(len(f.instances))], 1000+3000*f.rng.Float64())
			}
			// callers of the one that is cut off go on there
			for range 2 {
				f.charge(x, 3000)
			}
		}
		if got, most := f.most(), bound(rate, burst); got > most {
			t.Fatalf("seed %d: %.0f in a window, at most %.0f", seed, got, most)
		}
	}
}

// admitted plays a demand of half of the rate at 300 instances and returns the share that was
// admitted in some seconds after a fault.
func admitted(t *testing.T, fault func(*fleet), before, window time.Duration) float64 {
	const rate, burst, cost = 33000, 33000, 3000
	f := newFleet(t, 1, 300, rate, burst)
	f.settle()
	asked, got := 0, 0
	faultAt := f.now.Add(before)
	done := false
	for f.now < faultAt.Add(window) {
		f.step()
		if !done && f.now >= faultAt {
			fault(f)
			done = true
		}
		if f.rng.Float64() > 0.5*rate/cost/100 {
			continue
		}
		at := f.instances[f.rng.IntN(len(f.instances))]
		if f.now < at.down {
			continue
		}
		ok := f.charge(at, cost)
		if f.now >= faultAt {
			asked++
			if ok {
				got++
			}
		}
	}
	t.Logf("%d of %d admitted", got, asked)
	return float64(got) / float64(asked)
}

// Requests of an organisation that uses half of its rate are refused at hundreds of instances,
// of which each has a part that pays for none.
func TestSteadyDemandIsAdmitted(t *testing.T) {
	is := is.New(t)
	share := admitted(t, func(*fleet) {}, 5*time.Second, 60*time.Second)
	is.True(share >= 0.97)
}

// The leader is lost, and with it the quotas of all organisations.
func TestLossOfTheLeaderCostsNothing(t *testing.T) {
	is := is.New(t)
	share := admitted(t, (*fleet).replaceLeader, 10*time.Second, 5*time.Second)
	is.True(share >= 0.9)
}

// An organisation's owner is killed for good among 300 instances.
func TestLossOfAnOwner(t *testing.T) {
	is := is.New(t)
	kill := func(f *fleet) {
		for _, x := range f.instances {
			if x.address == f.instances[0].accounts.Table().Owner(org) {
				x.down = f.now.Add(time.Hour)
			}
		}
	}
	share := admitted(t, kill, 10*time.Second, 10*time.Second)
	is.True(share >= 0.75)
}

// Half of the instances are killed at the same moment.
func TestLossOfHalfOfTheInstances(t *testing.T) {
	is := is.New(t)
	kill := func(f *fleet) {
		for i, x := range f.instances {
			if i%2 == 0 {
				x.down = f.now.Add(time.Hour)
			}
		}
	}
	share := admitted(t, kill, 10*time.Second, 10*time.Second)
	is.True(share >= 0.75)
}
