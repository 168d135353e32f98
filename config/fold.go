package config

import (
	"galenastair"
	"galenastair/contract"
)

// rulesVersion is the newest version of the fold's rules that this program knows.
const rulesVersion = 1

// firstOffset is the offset of the first record of any stream.
const firstOffset galenastair.Offset = 1

// Fold is the deterministic state of the configuration stream up to an offset.
type Fold struct {
	next          galenastair.Offset
	rules         int
	halted        bool
	organisations *table[galenastair.Organisation, *organisation]
	keys          *table[keyID, galenastair.Organisation]
	withdrawn     *table[keyID, struct{}]
	// skeletons holds every name once taken, so that a later one cannot pass for it.
	skeletons map[string]galenastair.Organisation
	recent    *recent
	digest    Digest
	history   history
	counts    map[Reason]int64
}

// NewFold returns the fold of an empty stream.
func NewFold() *Fold {
	return &Fold{
		next:          firstOffset,
		rules:         1,
		organisations: newTable[galenastair.Organisation, *organisation](hashOrganisation),
		keys:          newTable[keyID, galenastair.Organisation](hashKeyID),
		withdrawn:     newTable[keyID, struct{}](hashKeyID),
		skeletons:     make(map[string]galenastair.Organisation),
		recent:        newRecent(),
		counts:        make(map[Reason]int64),
	}
}

// Next returns the offset of the first record that is not folded yet.
func (f *Fold) Next() galenastair.Offset { return f.next }

// Halted tells that the stream has moved to rules that this program does not know.
func (f *Fold) Halted() bool { return f.halted }

// Digest returns the sum over the fold's entries.
func (f *Fold) Digest() Digest { return f.digest }

// Apply folds the next record; records before Next change nothing.
func (f *Fold) Apply(rec galenastair.LogRecord) Verdict {
	v := Verdict{Offset: rec.Offset, Outcome: Skipped}
	switch {
	case rec.Offset < f.next:
		v.Reason = OldOffset
		return v
	case f.halted:
		v.Reason = UnknownRules
		return v
	}
	v = f.apply(rec, v)
	if f.halted {
		return v
	}
	f.next = rec.Offset + 1
	f.history.add(f.next, f.digest)
	if v.Reason != NoReason {
		f.counts[v.Reason]++
	}
	return v
}

func (f *Fold) apply(rec galenastair.LogRecord, v Verdict) Verdict {
	r, err := decodeRecord(rec.Data)
	if err != nil {
		v.Reason, v.Detail = Malformed, err.Error()
		return v
	}
	v.Record, v.Kind = r.ID, r.Kind
	if first, found := f.recent.get(r.ID); found {
		v.Outcome, v.Winner = Duplicate, Change{Offset: first.Offset, Record: r.ID, Author: r.Author}
		return v
	}
	c := Change{Offset: rec.Offset, Record: r.ID, Author: r.Author}
	v = f.dispatch(r, c, v)
	if !f.halted && (v.Outcome == Accepted || v.Outcome == Rejected) {
		f.remember(applied{Record: r.ID, Offset: rec.Offset, Outcome: v.Outcome})
	}
	return v
}

func (f *Fold) dispatch(r galenastair.Record, c Change, v Verdict) Verdict {
	switch r.Kind {
	case KindContractPublished:
		return handle(r, c, v, f.contractPublished)
	case KindContractWithdrawn:
		return handle(r, c, v, f.contractWithdrawn)
	case KindKeyGiven:
		return handle(r, c, v, f.keyGiven)
	case KindKeyWithdrawn:
		return handle(r, c, v, f.keyWithdrawn)
	case KindSnapshotTaken:
		return f.snapshotTaken(r, v)
	case KindRulesRaised:
		return handle(r, c, v, f.rulesRaised)
	}
	v.Reason, v.Detail = UnknownKind, "this program skips the kind"
	return v
}

// rejection says why a change is refused, and by whom it was beaten; its zero value accepts.
type rejection struct {
	reason Reason
	winner Change
	detail string
}

func handle[B any](r galenastair.Record, c Change, v Verdict, act func(B, Change) rejection) Verdict {
	var body B
	if err := decode(r.Body, &body); err != nil {
		v.Reason, v.Detail = Malformed, err.Error()
		return v
	}
	no := act(body, c)
	v.Reason, v.Winner, v.Detail = no.reason, no.winner, no.detail
	v.Outcome = Accepted
	if no.reason != NoReason {
		v.Outcome = Rejected
	}
	return v
}

func (f *Fold) rulesRaised(b RulesRaised, _ Change) rejection {
	if b.Version <= f.rules {
		return rejection{reason: Conflict, detail: "these rules are in force already"}
	}
	if b.Version > rulesVersion {
		f.halted = true
		return rejection{reason: UnknownRules, detail: "a newer program is needed to fold on"}
	}
	f.rules = b.Version
	return rejection{}
}

func (f *Fold) remember(a applied) {
	f.digest.add(a.entry())
	if old, forgotten := f.recent.add(a); forgotten {
		f.digest.remove(old.entry())
	}
}

// set replaces the state of an organisation.
func (f *Fold) set(o *organisation) {
	if old, found := f.organisations.get(o.Name); found {
		f.digest.remove(old.entry())
	}
	f.digest.add(o.entry())
	f.organisations.put(o.Name, o)
	f.skeletons[contract.Skeleton(o.Name)] = o.Name
}
