package quota

import (
	"slices"
	"time"

	"galenastair"
)

// Restore applies the checkpoint that lenders have stored on the platform, until a lender sends an
// allocation. An instance that is not listed has no fraction yet, because the others hold all of
// it. first reports that no earlier process of this instance has used this checkpoint. A later
// process starts with nothing, because an instance that restarts repeatedly would otherwise spend
// the advance each time.
func (b *Borrower) Restore(now time.Time, self galenastair.InstanceID, c Checkpoint, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.lenderAnswered.IsZero() || len(c.Instances) == 0 {
		return
	}
	b.fleet, b.fraction = len(c.Instances), 0
	if slices.Contains(c.Instances, self) {
		b.fraction = equalFraction(b.fleet)
	}
	if first {
		b.setLowUsage(c.LowUsage)
	} else {
		b.reserveFrom = now.Add(b.tolerance.Window)
	}
}

// SetFleetSize sets the number of instances when this one holds no fraction of the quotas.
func (b *Borrower) SetFleetSize(fleet int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet, b.fraction = fleet, 0
}

func (b *Borrower) setLowUsage(list []galenastair.Organisation) {
	clear(b.lowUsage)
	for _, o := range list {
		b.lowUsage[o] = true
	}
}

// TakeContribution returns what has not been contributed yet. It counts as contributed whether or
// not the lender receives it.
func (b *Borrower) TakeContribution(now time.Time) Contribution {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := Contribution{FleetSize: b.fleet, Fraction: b.fraction, Version: b.version}
	if !b.fallback && !b.contributedUntil.IsZero() {
		c.Elapsed = max(0, now.Sub(b.contributedUntil))
		c.Advanced = b.advancedSinceContribution(now)
	}
	b.contributedUntil = now
	return c
}

// advancedSinceContribution returns how much of the time since the last contribution was granted
// in advance, by organisation.
func (b *Borrower) advancedSinceContribution(now time.Time) map[galenastair.Organisation]time.Duration {
	var out map[galenastair.Organisation]time.Duration
	for name, a := range b.accounts {
		if !a.advancedUntil.After(b.contributedUntil) {
			continue
		}
		if out == nil {
			out = map[galenastair.Organisation]time.Duration{}
		}
		out[name] = min(now.Sub(b.contributedUntil), a.advancedUntil.Sub(b.contributedUntil))
	}
	return out
}

// SetAllocation applies the lender's answer and ends the fallback.
func (b *Borrower) SetAllocation(now time.Time, allocation Allocation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lenderAnswered = now
	if allocation.FleetSize > 0 {
		b.fleet, b.fraction, b.allocated = allocation.FleetSize, allocation.Fraction, true
	}
	if allocation.Version != b.version {
		b.version = allocation.Version
		b.setLowUsage(allocation.LowUsage)
	}
	if b.fallback {
		b.fallback, b.contributedUntil = false, now
		for _, a := range b.accounts {
			b.endFallback(now, a)
		}
	}
}
