package account

import (
	"sync"
	"time"

	"galenastair"
	"galenastair/boottime"
	"galenastair/catalog"
	"galenastair/quota"
)

// Verdict is the answer to a charge.
type Verdict struct {
	// Owned is false if this instance does not own the organisation.
	Owned   bool
	Granted bool
	// Wait is when the account probably has room, if it was not granted.
	Wait time.Duration
}

// Accounts are those of the organisations that this instance owns. It is made for requests
// of one organisation that come in at hundreds of instances.
type Accounts struct {
	self  string
	terms quota.Terms

	mu     sync.Mutex
	limits map[galenastair.Organisation]limit
	table  Table
	// confirmed is when the exchange was sent by which the leader last confirmed the table.
	confirmed boottime.Time
	grants    map[Shard]grant
	accounts  map[galenastair.Organisation]*account
	// denials are until when an owner has nothing for an organisation.
	denials map[galenastair.Organisation]denial
}

// denial is what an owner has answered last.
type denial struct {
	at   boottime.Time
	wait time.Duration
}

// limit is what an organisation may have, in its contract's units.
type limit struct {
	rate, size float64
	// largest is the most that one request may take.
	largest float64
}

type grant struct {
	since boottime.Time
	// half is until when the account fills at half of the rate.
	half boottime.Time
}

type account struct {
	level float64
	at    boottime.Time
	// denied is the cost of what was denied lately, for the foretold wait.
	denied   float64
	deniedAt boottime.Time
}

// New returns the accounts of an instance, which is named by its peer address.
func New(self string, t quota.Terms) *Accounts {
	return &Accounts{
		self:     self,
		terms:    t,
		limits:   map[galenastair.Organisation]limit{},
		grants:   map[Shard]grant{},
		accounts: map[galenastair.Organisation]*account{},
		denials:  map[galenastair.Organisation]denial{},
	}
}

// deniedFor is the longest that an organisation over its quota is kept from asking its owner
// again: a flood would ask for each of its requests.
const deniedFor = 50 * time.Millisecond

// Deny notes an owner's denial.
func (a *Accounts) Deny(now boottime.Time, o galenastair.Organisation, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.denials[o] = denial{now, wait}
}

// Denied says whether an owner has denied an organisation a moment ago.
func (a *Accounts) Denied(now boottime.Time, o galenastair.Organisation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	d, denied := a.denials[o]
	return denied && now.Sub(d.at) < min(deniedFor, d.wait)
}

// Wait returns when an organisation probably has room, by its owner's last denial.
func (a *Accounts) Wait(now boottime.Time, o galenastair.Organisation) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.denials[o]
	return max(0, d.at.Add(d.wait).Sub(now))
}

// SetContracts takes the organisations' quotas; a lower one binds at once.
func (a *Accounts) SetContracts(c *catalog.Catalog) {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.limits)
	c.Organisations(func(o *catalog.Organisation) {
		if o.Rate > 0 {
			rate, size := a.terms.Lending(o)
			a.limits[o.Name] = limit{rate, size, a.terms.Most(o)}
		}
	})
	for name, acc := range a.accounts {
		l, limited := a.limits[name]
		if !limited {
			delete(a.accounts, name)
			continue
		}
		acc.level = min(acc.level, l.size)
	}
}

// Limited says whether an organisation has a quota.
func (a *Accounts) Limited(o galenastair.Organisation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, limited := a.limits[o]
	return limited
}

// Table returns the table that this instance goes by.
func (a *Accounts) Table() Table {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table
}

// SetTable takes in a table that the leader has told.
func (a *Accounts) SetTable(t Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table = t.clone()
}

// Confirm takes in the leader's word on what this instance owns, by the table that it was
// told last; sent is from before the call that brought it.
func (a *Accounts) Confirm(sent, now boottime.Time, grants []Grant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.accounts {
		a.fill(now, name)
	}
	a.confirmed = max(a.confirmed, sent)
	old := a.grants
	a.grants = map[Shard]grant{}
	for _, g := range grants {
		since := now
		if before, owned := old[g.Shard]; owned {
			since = before.since
		}
		a.grants[g.Shard] = grant{since, now.Add(g.Half)}
	}
	for name := range a.accounts {
		if _, owned := a.grants[ShardOf(name)]; !owned {
			delete(a.accounts, name)
		}
	}
}

// Charge takes a request's cost from its organisation's account.
func (a *Accounts) Charge(now boottime.Time, o galenastair.Organisation, cost float64) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, owned := a.grants[ShardOf(o)]
	if !owned || now.Sub(a.confirmed) > grace {
		return Verdict{}
	}
	l, limited := a.limits[o]
	if !limited {
		// whoever asks goes by another version of the contracts
		return Verdict{}
	}
	if a.accounts[o] == nil {
		a.accounts[o] = &account{at: g.since}
	}
	acc := a.fill(now, o)
	if acc.level >= cost || cost <= l.largest && acc.level >= l.size {
		// a request larger than the bucket is paid for by those that come after
		acc.level -= cost
		return Verdict{Owned: true, Granted: true}
	}
	return Verdict{Owned: true, Wait: acc.deny(now, l, cost)}
}

// deny foretells when the account has what was denied lately and this request.
func (acc *account) deny(now boottime.Time, l limit, cost float64) time.Duration {
	acc.denied = max(0, acc.denied-l.rate*now.Sub(acc.deniedAt).Seconds()) + cost
	acc.deniedAt = now
	return time.Duration((acc.denied - min(acc.level, 0)) / l.rate * float64(time.Second))
}

// fill brings an account to the present; the lock is held.
func (a *Accounts) fill(now boottime.Time, o galenastair.Organisation) *account {
	acc, l, g := a.accounts[o], a.limits[o], a.grants[ShardOf(o)]
	if now <= acc.at {
		return acc
	}
	doubt := a.confirmed.Add(fresh)
	acc.level = min(l.size, acc.level+l.rate*earned(acc.at, now, g.half, doubt, a.confirmed.Add(grace)))
	if now > doubt {
		// what it holds besides may be granted by another owner too
		acc.level = min(acc.level, l.largest/2)
	}
	acc.at = now
	return acc
}

// earned returns for how many seconds of the rate a time counts: in full from half to doubt,
// by half before and after that, and not at all from the end on.
func earned(from, to, half, doubt, end boottime.Time) float64 {
	whole := overlap(from, to, half, doubt)
	return (whole + max(0, overlap(from, to, from, end)-whole)/2).Seconds()
}

func overlap(from, to, begin, end boottime.Time) time.Duration {
	return max(0, min(to, end).Sub(max(from, begin)))
}
