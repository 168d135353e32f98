package config

import (
	"galenastair"
	"galenastair/contract"
)

// maxRulesVersion is the newest version of the state machine's rules that this program supports.
const maxRulesVersion = 1

// firstOffset is the offset of the first record of every stream.
const firstOffset galenastair.Offset = 1

// StateMachine is the deterministic state of the configuration stream up to an offset.
type StateMachine struct {
	next          galenastair.Offset
	rulesVersion  int
	halted        bool
	organisations *cowMap[galenastair.Organisation, *organisation]
	keys          *cowMap[keyID, galenastair.Organisation]
	withdrawn     *cowMap[keyID, struct{}]
	// skeletons maps the skeleton of every name that was ever used to that name, so that
	// no later organisation can take a confusable one.
	skeletons    map[string]galenastair.Organisation
	recent       *recentRecords
	digest       Digest
	history      digestHistory
	reasonCounts map[Reason]int64
}

// NewStateMachine returns the state of an empty stream.
func NewStateMachine() *StateMachine {
	return &StateMachine{
		next:          firstOffset,
		rulesVersion:  1,
		organisations: newCOWMap[galenastair.Organisation, *organisation](hashOrganisation),
		keys:          newCOWMap[keyID, galenastair.Organisation](hashKeyID),
		withdrawn:     newCOWMap[keyID, struct{}](hashKeyID),
		skeletons:     make(map[string]galenastair.Organisation),
		recent:        newRecentRecords(),
		reasonCounts:  make(map[Reason]int64),
	}
}

// Next returns the offset of the first record that has not been applied.
func (sm *StateMachine) Next() galenastair.Offset { return sm.next }

// Halted reports whether the stream requires a rules version that this program does not support.
func (sm *StateMachine) Halted() bool { return sm.halted }

// Digest returns the digest of the state machine's entries.
func (sm *StateMachine) Digest() Digest { return sm.digest }

// Apply applies the next record; records before Next are skipped.
func (sm *StateMachine) Apply(rec galenastair.LogRecord) ApplyResult {
	res := ApplyResult{Offset: rec.Offset, Outcome: Skipped}
	switch {
	case rec.Offset < sm.next:
		res.Reason = OldOffset
		return res
	case sm.halted:
		res.Reason = UnknownRules
		return res
	}
	res = sm.apply(rec, res)
	if sm.halted {
		return res
	}
	sm.next = rec.Offset + 1
	sm.history.add(sm.next, sm.digest)
	if res.Reason != NoReason {
		sm.reasonCounts[res.Reason]++
	}
	return res
}

func (sm *StateMachine) apply(rec galenastair.LogRecord, res ApplyResult) ApplyResult {
	r, err := decodeRecord(rec.Data)
	if err != nil {
		res.Reason, res.Detail = Malformed, err.Error()
		return res
	}
	res.Record, res.Kind = r.ID, r.Kind
	if first, found := sm.recent.get(r.ID); found {
		res.Outcome, res.ExistingChange = Duplicate, Change{Offset: first.Offset, Record: r.ID, Author: r.Author}
		return res
	}
	c := Change{Offset: rec.Offset, Record: r.ID, Author: r.Author}
	res = sm.applyByKind(r, c, res)
	if !sm.halted && (res.Outcome == Accepted || res.Outcome == Rejected) {
		sm.recordApplied(appliedRecord{Record: r.ID, Offset: rec.Offset, Outcome: res.Outcome})
	}
	return res
}

func (sm *StateMachine) applyByKind(r galenastair.Record, c Change, res ApplyResult) ApplyResult {
	switch r.Kind {
	case KindContractPublished:
		return decodeAndApply(r, c, res, sm.applyContractPublished)
	case KindContractWithdrawn:
		return decodeAndApply(r, c, res, sm.applyContractWithdrawn)
	case KindKeyGiven:
		return decodeAndApply(r, c, res, sm.applyKeyGiven)
	case KindKeyWithdrawn:
		return decodeAndApply(r, c, res, sm.applyKeyWithdrawn)
	case KindSnapshotTaken:
		return sm.verifySnapshot(r, res)
	case KindRulesRaised:
		return decodeAndApply(r, c, res, sm.applyRulesRaised)
	}
	res.Reason, res.Detail = UnknownKind, "record kind not supported by this program"
	return res
}

// rejection is the reason why a change is rejected and the change that it conflicts with;
// its zero value means that the change is accepted.
type rejection struct {
	reason   Reason
	existing Change
	detail   string
}

func decodeAndApply[B any](r galenastair.Record, c Change, res ApplyResult, apply func(B, Change) rejection) ApplyResult {
	var body B
	if err := decode(r.Body, &body); err != nil {
		res.Reason, res.Detail = Malformed, err.Error()
		return res
	}
	rej := apply(body, c)
	res.Reason, res.ExistingChange, res.Detail = rej.reason, rej.existing, rej.detail
	res.Outcome = Accepted
	if rej.reason != NoReason {
		res.Outcome = Rejected
	}
	return res
}

func (sm *StateMachine) applyRulesRaised(b RulesRaised, _ Change) rejection {
	if b.Version <= sm.rulesVersion {
		return rejection{reason: Conflict, detail: "rules version already in force"}
	}
	if b.Version > maxRulesVersion {
		sm.halted = true
		return rejection{reason: UnknownRules, detail: "rules version requires a newer program"}
	}
	sm.rulesVersion = b.Version
	return rejection{}
}

func (sm *StateMachine) recordApplied(a appliedRecord) {
	sm.digest.add(a.digestInput())
	if old, forgotten := sm.recent.add(a); forgotten {
		sm.digest.remove(old.digestInput())
	}
}

func (sm *StateMachine) setOrganisation(o *organisation) {
	if old, found := sm.organisations.get(o.Name); found {
		sm.digest.remove(old.digestInput())
	}
	sm.digest.add(o.digestInput())
	sm.organisations.put(o.Name, o)
	sm.skeletons[contract.Skeleton(o.Name)] = o.Name
}
