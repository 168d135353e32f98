package account

import (
	"sync"
	"time"

	"galenastair"
	"galenastair/boottime"
	"galenastair/catalog"
	"galenastair/quota"
)

// ChargeResult is the answer to a charge.
type ChargeResult struct {
	// Owned is false if this instance does not own the organisation.
	Owned   bool
	Granted bool
	// RetryAfter estimates when the account has room, if the charge was not granted.
	RetryAfter time.Duration
}

// Accounts holds the accounts of the organisations that this instance owns. It is designed for
// requests of one organisation that arrive at hundreds of instances.
type Accounts struct {
	self      string
	tolerance quota.Tolerance

	mu     sync.Mutex
	limits map[galenastair.Organisation]limit
	table  Table
	// confirmedAt is when the exchange was sent in which the leader last confirmed the table.
	confirmedAt boottime.Time
	grants      map[Shard]grant
	accounts    map[galenastair.Organisation]*account
	// denials holds the last denial by an owner for each organisation.
	denials map[galenastair.Organisation]denial
}

// denial is the last denial by an owner.
type denial struct {
	at         boottime.Time
	retryAfter time.Duration
}

// limit is an organisation's quota, in the units of its contract.
type limit struct {
	rate, size float64
	// maxCost is the largest cost that one request may have.
	maxCost float64
}

type grant struct {
	since boottime.Time
	// halfRateUntil is the time until which the account fills at half the rate.
	halfRateUntil boottime.Time
}

type account struct {
	level    float64
	filledAt boottime.Time
	// deniedCost is the cost of recently denied requests, for the estimate of RetryAfter.
	deniedCost float64
	deniedAt   boottime.Time
}

// New returns the accounts of an instance, which is named by its peer address.
func New(self string, t quota.Tolerance) *Accounts {
	return &Accounts{
		self:      self,
		tolerance: t,
		limits:    map[galenastair.Organisation]limit{},
		grants:    map[Shard]grant{},
		accounts:  map[galenastair.Organisation]*account{},
		denials:   map[galenastair.Organisation]denial{},
	}
}

// denialTTL is the longest time for which an organisation over its quota does not ask its owner
// again. Without it an overloaded organisation would ask for each of its requests.
const denialTTL = 50 * time.Millisecond

// RecordDenial records an owner's denial.
func (a *Accounts) RecordDenial(now boottime.Time, o galenastair.Organisation, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.denials[o] = denial{now, wait}
}

// RecentlyDenied reports whether an owner has denied the organisation within denialTTL.
func (a *Accounts) RecentlyDenied(now boottime.Time, o galenastair.Organisation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	d, denied := a.denials[o]
	return denied && now.Sub(d.at) < min(denialTTL, d.retryAfter)
}

// RetryAfter estimates when an organisation has room, from its owner's last denial.
func (a *Accounts) RetryAfter(now boottime.Time, o galenastair.Organisation) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.denials[o]
	return max(0, d.at.Add(d.retryAfter).Sub(now))
}

// SetContracts sets the organisations' quotas; a lower one takes effect at once.
func (a *Accounts) SetContracts(c *catalog.Catalog) {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.limits)
	c.ForEachOrganisation(func(o *catalog.Organisation) {
		if o.Rate > 0 {
			rate, size := a.tolerance.LendingBucket(o)
			a.limits[o.Name] = limit{rate, size, a.tolerance.MaxBurst(o)}
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

// IsLimited reports whether an organisation has a quota, so that its requests must be charged.
func (a *Accounts) IsLimited(o galenastair.Organisation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, limited := a.limits[o]
	return limited
}

// Table returns the table that this instance uses.
func (a *Accounts) Table() Table {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table
}

// SetTable sets the table that the leader has announced.
func (a *Accounts) SetTable(t Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table = t.clone()
}

// ConfirmGrants applies the leader's confirmation of what this instance owns by the last announced
// table. sent is a time before the call that returned it.
func (a *Accounts) ConfirmGrants(sent, now boottime.Time, grants []Grant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.accounts {
		a.refill(now, name)
	}
	a.confirmedAt = max(a.confirmedAt, sent)
	old := a.grants
	a.grants = map[Shard]grant{}
	for _, g := range grants {
		since := now
		if before, owned := old[g.Shard]; owned {
			since = before.since
		}
		a.grants[g.Shard] = grant{since, now.Add(g.HalfRateFor)}
	}
	for name := range a.accounts {
		if _, owned := a.grants[ShardOf(name)]; !owned {
			delete(a.accounts, name)
		}
	}
}

// Owns reports whether this instance owns a shard. At most one instance does, but for the time that a
// change of owners takes.
func (a *Accounts) Owns(now boottime.Time, s Shard) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, owned := a.grants[s]
	return owned && now.Sub(a.confirmedAt) <= gracePeriod
}

// Charge takes a request's cost from its organisation's account.
func (a *Accounts) Charge(now boottime.Time, o galenastair.Organisation, cost float64) ChargeResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, owned := a.grants[ShardOf(o)]
	if !owned || now.Sub(a.confirmedAt) > gracePeriod {
		return ChargeResult{}
	}
	l, limited := a.limits[o]
	if !limited {
		// the calling instance has another version of the contracts
		return ChargeResult{}
	}
	if a.accounts[o] == nil {
		a.accounts[o] = &account{filledAt: g.since}
	}
	acc := a.refill(now, o)
	if acc.level >= cost || cost <= l.maxCost && acc.level >= l.size {
		// later requests pay for one that is larger than the bucket
		acc.level -= cost
		return ChargeResult{Owned: true, Granted: true}
	}
	return ChargeResult{Owned: true, RetryAfter: acc.deny(now, l, cost)}
}

// deny estimates when the account will hold enough for the recently denied requests and this one.
func (acc *account) deny(now boottime.Time, l limit, cost float64) time.Duration {
	acc.deniedCost = max(0, acc.deniedCost-l.rate*now.Sub(acc.deniedAt).Seconds()) + cost
	acc.deniedAt = now
	return time.Duration((acc.deniedCost - min(acc.level, 0)) / l.rate * float64(time.Second))
}

// refill brings an account up to date; the lock must be held.
func (a *Accounts) refill(now boottime.Time, o galenastair.Organisation) *account {
	acc, l, g := a.accounts[o], a.limits[o], a.grants[ShardOf(o)]
	if now <= acc.filledAt {
		return acc
	}
	fullRateUntil := a.confirmedAt.Add(fullRatePeriod)
	acc.level = min(l.size, acc.level+l.rate*earnedSeconds(acc.filledAt, now, g.halfRateUntil, fullRateUntil, a.confirmedAt.Add(gracePeriod)))
	if now > fullRateUntil {
		// more than that could be granted by another owner as well
		acc.level = min(acc.level, l.maxCost/2)
	}
	acc.filledAt = now
	return acc
}

// earnedSeconds returns for how many seconds at the full rate a time span counts: in full from
// fullFrom to fullUntil, by half before and after that, and not at all from end on.
func earnedSeconds(from, to, fullFrom, fullUntil, end boottime.Time) float64 {
	whole := overlap(from, to, fullFrom, fullUntil)
	return (whole + max(0, overlap(from, to, from, end)-whole)/2).Seconds()
}

func overlap(from, to, begin, end boottime.Time) time.Duration {
	return max(0, min(to, end).Sub(max(from, begin)))
}
