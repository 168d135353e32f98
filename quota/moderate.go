package quota

import (
	"slices"
	"time"

	"galenastair"
)

// An organisation has low usage if it certainly used so little in any window that instances that
// lose the lender may grant some seconds of its rate at once, in advance.
//
// Failure guarded against: all instances restart, or the lender is lost, and all callers return at
// once. Nobody knows what was spent, so without an advance only the plain rate could be granted,
// starting from nothing, and requests of an organisation that uses less than half of its quota
// would be refused. The lender keeps a low-usage organisation within lowUsageLimit and stores that
// in the checkpoint before instances rely on it. It lends beyond the limit only after the
// checkpoint no longer lists the organisation.

const (
	// advancePeriod is how much time's worth of tokens instances grant in advance. The next lender
	// takes 1.3 to 2 s to start, and disconnected callers return with what they asked for
	// meanwhile.
	advancePeriod = 1500 * time.Millisecond
	// startupAdvancePeriod applies to a process that has had no answer from a lender: its
	// predecessor may have granted in advance within the same window.
	startupAdvancePeriod = 1200 * time.Millisecond
	// maxAdvance is the room that the use of a low-usage organisation leaves: both advances
	// together.
	maxAdvance = advancePeriod + startupAdvancePeriod
	// An organisation becomes low-usage at or below lowUsageEnter, a fraction of lowUsageLimit,
	// and stops being so above lowUsageExit. The gap keeps the checkpoint from being rewritten all
	// the time. What is above lowUsageExit can be lent until the checkpoint is rewritten.
	lowUsageEnter = 0.85
	lowUsageExit  = 0.93
)

// Checkpoint is the state that a lender stores on the platform for its successors.
type Checkpoint struct {
	// Instances are those that hold a fraction of the quotas.
	Instances []galenastair.InstanceID
	LowUsage  []galenastair.Organisation `json:"Moderate"`
}

// lowUsageState tracks whether an organisation is held to lowUsageLimit.
type lowUsageState struct {
	window window
	// limited means that at most lowUsageLimit is lent in a window, and publish that the
	// checkpoint should list the organisation.
	limited, publish bool
}

// lowUsageLimit is the most that a low-usage organisation gets in a window. Together with what is
// granted in advance it does not exceed what any organisation may get.
func (l *Lender) lowUsageLimit(a *lendingAccount) float64 {
	return a.rate*(l.tolerance.Window-maxAdvance).Seconds() + a.capacity
}

// slot returns the current slot of an organisation's window.
func (l *Lender) slot(now time.Time, a *lendingAccount) *slot {
	if l.epoch.IsZero() {
		l.epoch = now
	}
	return a.window.slot(now.Sub(l.epoch), l.tolerance.Window)
}

// usedInWindow returns an upper bound on what an organisation used in the last window: what was
// lent, and what instances may have spent locally from fractions that they did not contribute.
func (l *Lender) usedInWindow(now time.Time, a *lendingAccount) float64 {
	l.slot(now, a)
	notContributed := max(0, l.tolerance.Window.Seconds()-a.window.contributed())
	return a.window.lent() + notContributed*a.rate
}

// available returns how much may be lent now. An organisation that needs more than the low-usage
// limit leaves the low-usage list, and gets more once the stored checkpoint no longer lists it.
func (l *Lender) available(now time.Time, a *lendingAccount, wants float64) float64 {
	if !a.limited {
		return wants
	}
	free := l.lowUsageLimit(a) - l.usedInWindow(now, a)
	if free < wants && a.publish {
		a.publish = false
		l.updateLowUsage()
	}
	return max(0, free)
}

// reviewLowUsage updates which organisations should be listed as low-usage.
func (l *Lender) reviewLowUsage(now time.Time) {
	for _, a := range l.accounts {
		if l.tolerance.Window <= maxAdvance {
			continue
		}
		use := l.usedInWindow(now, a)
		if a.limited {
			a.publish = a.publish && use <= lowUsageExit*l.lowUsageLimit(a)
			continue
		}
		if now.Sub(l.termStart) < l.tolerance.Window {
			// the previous lender may have lent a full bucket
			use += a.capacity
		}
		if use <= lowUsageEnter*l.lowUsageLimit(a) {
			a.limited, a.publish = true, true
		}
	}
}

// Checkpoint returns the state to store on the platform; false while the fleet is not counted.
func (l *Lender) Checkpoint(now time.Time) (Checkpoint, bool) {
	if l.termStart.IsZero() || l.countingFleet(now) {
		return Checkpoint{}, false
	}
	l.reviewLowUsage(now)
	c := Checkpoint{Instances: l.checkpointInstances(now)}
	for name, a := range l.accounts {
		if a.publish {
			c.LowUsage = append(c.LowUsage, name)
		}
	}
	slices.Sort(c.LowUsage)
	return c, true
}

// checkpointInstances returns the instances whose processes may start with their fraction. One
// that has not exchanged for fallbackFullPeriod keeps its fraction for a while, but a process that
// starts in its place now would still be spending it when it is allocated to others.
func (l *Lender) checkpointInstances(now time.Time) []galenastair.InstanceID {
	var out []galenastair.InstanceID
	for id, h := range l.instances {
		if now.Sub(h.exchangedAt) <= fallbackFullPeriod {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// CheckpointStored records that a checkpoint is stored on the platform.
func (l *Lender) CheckpointStored(c Checkpoint) {
	for name, a := range l.accounts {
		inCheckpoint := slices.Contains(c.LowUsage, name)
		if a.limited && !a.publish && !inCheckpoint {
			a.limited = false
		}
	}
	l.storedLowUsage = c.LowUsage
	l.updateLowUsage()
}

// updateLowUsage sets the list that instances are told: the organisations that the stored
// checkpoint lists and the next one will list too.
func (l *Lender) updateLowUsage() {
	listed := slices.DeleteFunc(slices.Clone(l.storedLowUsage), func(o galenastair.Organisation) bool {
		a := l.accounts[o]
		return a == nil || !a.publish
	})
	if !slices.Equal(listed, l.lowUsage) {
		l.lowUsage = listed
		l.version++
	}
}
