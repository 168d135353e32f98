package quota

import (
	"slices"
	"time"

	"galenastair"
)

// An organisation is moderate if it certainly got so little in any window that instances
// which lose the lender may grant some seconds of its rate at once, in advance.
//
// Load: all instances are started again, or the lender is gone, and callers come back all
// together. Harm: nobody knows what was spent, so that no more than the rate may be granted,
// from nothing, and requests are refused though an organisation has used less than half of
// its quota. The lender holds a moderate organisation to moderateMost, and says so in a
// record of the platform before instances go by it; it lends beyond only after the record
// no longer says so.

const (
	// advance is for how long instances grant in advance. The next lender is there after
	// 1.3 to 2 s, and callers that were cut off come back with what they asked meanwhile.
	advance = 1500 * time.Millisecond
	// startedAdvance is the same for a process that no lender has answered: the one before it
	// may have granted in advance within the same window.
	startedAdvance = 1200 * time.Millisecond
	// advances is for how long a moderate organisation's use leaves room: for both.
	advances = advance + startedAdvance
	// calmUse is the part of moderateMost below which an organisation becomes moderate, and
	// highUse the one from which it ends to be. The distance between them keeps the record
	// from being written over and over, and what is above the second is lent until the
	// record is written.
	calmUse = 0.85
	highUse = 0.93
)

// Note is what a lender leaves on the platform for those that come after it.
type Note struct {
	// Instances are those that have a part of the quotas.
	Instances []galenastair.InstanceID
	Moderate  []galenastair.Organisation
}

// moderation is how a lender holds one organisation to little.
type moderation struct {
	window window
	// held says that no more than moderateMost is lent in a window, and wanted that the
	// record is to say so.
	held, wanted bool
}

// moderateMost is what a moderate organisation gets in a window at most: with what is
// granted in advance it is no more than any organisation may get.
func (l *Lender) moderateMost(a *credit) float64 {
	return a.rate*(l.terms.Window-advances).Seconds() + a.most
}

// slot returns the present slot of an organisation's window.
func (l *Lender) slot(now time.Time, a *credit) *slot {
	if l.epoch.IsZero() {
		l.epoch = now
	}
	return a.window.slot(now.Sub(l.epoch), l.terms.Window)
}

// used is at least what an organisation got in the last window: what was lent, and what
// instances may have spent on their own of parts that were not passed on.
func (l *Lender) used(now time.Time, a *credit) float64 {
	l.slot(now, a)
	alone := max(0, l.terms.Window.Seconds()-a.window.passed())
	return a.window.lent() + alone*a.rate
}

// room is how much may be lent now. An organisation that wants more than it may have as a
// moderate one ends to be one; it gets more when the record says so.
func (l *Lender) room(now time.Time, a *credit, wants float64) float64 {
	if !a.held {
		return wants
	}
	free := l.moderateMost(a) - l.used(now, a)
	if free < wants && a.wanted {
		a.wanted = false
		l.updateModerate()
	}
	return max(0, free)
}

// review finds the organisations that have become moderate.
func (l *Lender) review(now time.Time) {
	for _, a := range l.accounts {
		if l.terms.Window <= advances {
			continue
		}
		use := l.used(now, a)
		if a.held {
			a.wanted = a.wanted && use <= highUse*l.moderateMost(a)
			continue
		}
		if now.Sub(l.began) < l.terms.Window {
			// the lender before may have lent a full bucket
			use += a.most
		}
		if use <= calmUse*l.moderateMost(a) {
			a.held, a.wanted = true, true
		}
	}
}

// Note returns what is to be left on the platform; false while too little is known.
func (l *Lender) Note(now time.Time) (Note, bool) {
	if l.began.IsZero() || l.counting(now) {
		return Note{}, false
	}
	l.review(now)
	n := Note{Instances: l.namedInstances(now)}
	for name, a := range l.accounts {
		if a.wanted {
			n.Moderate = append(n.Moderate, name)
		}
	}
	slices.Sort(n.Moderate)
	return n, true
}

// namedInstances returns the instances whose processes may begin with their parts. One that was
// not heard for aloneFor keeps its part for a while, but a process that starts in its place now
// would still spend it when the part is dealt to others.
func (l *Lender) namedInstances(now time.Time) []galenastair.InstanceID {
	var out []galenastair.InstanceID
	for id, h := range l.heard {
		if now.Sub(h.at) <= aloneFor {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Noted takes in that a note stands on the platform.
func (l *Lender) Noted(n Note) {
	for name, a := range l.accounts {
		inNote := slices.Contains(n.Moderate, name)
		if a.held && !a.wanted && !inNote {
			a.held = false
		}
	}
	l.noted = n.Moderate
	l.updateModerate()
}

// updateModerate tells instances of those that the note names and that are to stay.
func (l *Lender) updateModerate() {
	told := slices.DeleteFunc(slices.Clone(l.noted), func(o galenastair.Organisation) bool {
		a := l.accounts[o]
		return a == nil || !a.wanted
	})
	if !slices.Equal(told, l.moderate) {
		l.moderate = told
		l.version++
	}
}
