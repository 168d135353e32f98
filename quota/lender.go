package quota

import (
	"time"

	"galenastair"
	"galenastair/catalog"
)

// Lender collects the fractions that the instances contribute and lends tokens from them. It is
// not safe for concurrent use.
//
// Failure guarded against: a partitioned instance spends its fraction while the lender lends it
// out as well, or a second lender starts while the first still lends, and an organisation gets
// more than its contract allows. Therefore nothing accrues by time alone: an instance states for
// how long it has left its fraction to the lender, each moment is contributed to at most one
// lender, and what a lost message carried is lost.
type Lender struct {
	tolerance Tolerance
	accounts  map[galenastair.Organisation]*lendingAccount
	instances map[galenastair.InstanceID]instanceState
	termStart time.Time
	// knownFleet is the largest fleet size reported by any instance, or by the checkpoint, from
	// before this term.
	knownFleet int
	// storedLowUsage lists the low-usage organisations of the checkpoint that is stored on the
	// platform, and lowUsage those that instances are told of. version changes with lowUsage.
	storedLowUsage, lowUsage []galenastair.Organisation
	version                  int64
	// epoch is the time of the first call and the origin of all window slots.
	epoch time.Time
}

// instanceState is an instance that has exchanged with the lender in this term. reported is the
// fraction it last reported, and allocated the one it was answered, which it may not have
// received.
type instanceState struct {
	exchangedAt         time.Time
	reported, allocated Fraction
}

// lendingAccount holds what can be lent for one organisation.
type lendingAccount struct {
	bucket
	lowUsageState
	// maxCost is the largest cost that one request may have.
	maxCost float64
}

// NewLender returns a lender with nothing to lend.
func NewLender(t Tolerance) *Lender {
	return &Lender{tolerance: t, accounts: map[galenastair.Organisation]*lendingAccount{}, instances: map[galenastair.InstanceID]instanceState{}}
}

// SetContracts sets the organisations' quotas; a lower one takes effect at once.
func (l *Lender) SetContracts(c *catalog.Catalog) {
	seen := map[galenastair.Organisation]bool{}
	c.ForEachOrganisation(func(o *catalog.Organisation) {
		if o.Rate <= 0 {
			return
		}
		seen[o.Name] = true
		a := l.accounts[o.Name]
		if a == nil {
			a = &lendingAccount{}
			l.accounts[o.Name] = a
		}
		a.set(l.tolerance.LendingBucket(o))
		a.maxCost = l.tolerance.MaxBurst(o)
	})
	for name := range l.accounts {
		if !seen[name] {
			delete(l.accounts, name)
		}
	}
}

// Reset begins a term with nothing to lend, because the previous lender may have lent everything
// contributed so far. The checkpoint is the one that the previous lender stored: the instances
// named there count as present, so that one that is partitioned as the term begins keeps its
// fraction.
func (l *Lender) Reset(now time.Time, c Checkpoint) {
	for _, a := range l.accounts {
		a.level = 0
		a.lowUsageState = lowUsageState{}
	}
	clear(l.instances)
	fraction := equalFraction(len(c.Instances))
	for _, id := range c.Instances {
		l.instances[id] = instanceState{now, fraction, fraction}
	}
	l.termStart, l.knownFleet = now, len(c.Instances)
	l.storedLowUsage, l.lowUsage, l.version = nil, nil, now.UnixNano()
}

// maxContribution bounds the time that one exchange can contribute. Instances exchange at least
// every 0.6 s.
const maxContribution = 2 * time.Second

// Contribute adds an instance's contribution and returns its new allocation. Until the fleet has
// been counted the allocation has no fleet size, which leaves the instance's fraction unchanged.
func (l *Lender) Contribute(now time.Time, id galenastair.InstanceID, c Contribution) Allocation {
	l.expireInstances(now)
	l.knownFleet = max(l.knownFleet, c.FleetSize)
	l.instances[id] = instanceState{now, c.Fraction, c.Fraction}
	fleet := l.FleetSize(now)
	if c.FleetSize == 0 {
		c.Fraction = equalFraction(fleet)
	}
	l.addContribution(now, c)
	if l.countingFleet(now) {
		return l.withLowUsage(c, Allocation{})
	}
	fraction := l.allocate(now, id)
	l.instances[id] = instanceState{now, c.Fraction, fraction}
	return l.withLowUsage(c, Allocation{FleetSize: fleet, Fraction: fraction})
}

// FleetCounted reports whether enough of the term has passed to know the number of instances.
func (l *Lender) FleetCounted(now time.Time) bool {
	return !l.termStart.IsZero() && !l.countingFleet(now)
}

// countingFleet reports whether it is too early in the term to know the number of instances.
func (l *Lender) countingFleet(now time.Time) bool {
	return now.Sub(l.termStart) < countPeriod || l.knownFleet == 0 && now.Sub(l.termStart) < initialCountPeriod
}

// withLowUsage adds the low-usage organisations if the instance has another version of the list.
func (l *Lender) withLowUsage(c Contribution, a Allocation) Allocation {
	a.Version = l.version
	if c.Version != l.version {
		a.LowUsage = l.lowUsage
	}
	return a
}

// allocate returns the fraction that an instance may have.
//
// Failure guarded against: an instance joins, or returns after its timeout, and the others are
// partitioned before they learn of it. They go on with fractions for a smaller fleet, and all
// fractions together exceed the whole for as long as the partition lasts. Therefore a new instance
// gets only what the others do not hold until each of them has exchanged with the lender.
func (l *Lender) allocate(now time.Time, id galenastair.InstanceID) Fraction {
	fleet := l.FleetSize(now)
	held := Fraction(fleet-len(l.instances)) * equalFraction(l.knownFleet)
	for other, h := range l.instances {
		if other != id {
			held += max(h.reported, h.allocated)
		}
	}
	return max(0, min(1-held, equalFraction(fleet)))
}

func (l *Lender) expireInstances(now time.Time) {
	for id, h := range l.instances {
		if now.Sub(h.exchangedAt) > instanceTimeout {
			delete(l.instances, id)
		}
	}
}

// FleetSize returns the number of instances, as far as it is known.
func (l *Lender) FleetSize(now time.Time) int {
	if now.Sub(l.termStart) < instanceTimeout {
		// instances that have not exchanged yet in this term may still hold a fraction
		return max(len(l.instances), l.knownFleet)
	}
	return len(l.instances)
}

// addContribution credits a fraction for an elapsed time, less what was granted in advance for it.
func (l *Lender) addContribution(now time.Time, c Contribution) {
	for name, a := range l.accounts {
		contributed := max(0, min(c.Elapsed, maxContribution)-c.Advanced[name]).Seconds() * float64(c.Fraction)
		a.add(a.rate * contributed)
		l.slot(now, a).contributed += contributed
	}
}

// prefetchReserve is the fraction of a bucket that is not lent ahead of demand. Without it one
// busy instance would hold all tokens while requests at the other instances are refused.
const prefetchReserve = 0.1

// Lend returns how much is lent for a request ahead of demand. A negative amount is a returned
// loan.
func (l *Lender) Lend(now time.Time, r LoanRequest) float64 {
	b := l.accounts[r.Organisation]
	if b == nil {
		return 0
	}
	if r.Amount < 0 {
		b.add(-r.Amount)
		l.slot(now, b).lent += r.Amount
		return 0
	}
	wants := min(r.Amount, b.level-prefetchReserve*b.capacity)
	n := b.takeUpTo(min(wants, l.available(now, b, wants)))
	l.slot(now, b).lent += n
	return n
}

// LendExact lends the whole amount or nothing, because a partial loan would not cover the request.
func (l *Lender) LendExact(now time.Time, r LoanRequest) float64 {
	b := l.accounts[r.Organisation]
	if b == nil || l.available(now, b, r.Amount) < r.Amount || !b.takeWithDebt(r.Amount, b.maxCost) {
		return 0
	}
	l.slot(now, b).lent += r.Amount
	return r.Amount
}
