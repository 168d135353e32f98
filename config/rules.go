package config

import (
	"fmt"
	"slices"

	"galenastair"
	"galenastair/contract"
)

// applyContractPublished accepts the first of two changes with the same base revision.
//
// Without this check, one of two concurrent changes, or a change made since the published
// file was exported, would be overwritten silently. All instances compare the same base
// with the same revision, since they apply records in log order.
func (sm *StateMachine) applyContractPublished(b ContractPublished, c Change) rejection {
	if err := b.Contract.Validate(); err != nil {
		return rejection{reason: Invalid, detail: err.Error()}
	}
	name := b.Contract.Organisation
	if rej := sm.checkBase(name, b.Base); rej.reason != NoReason {
		return rej
	}
	if rej := sm.checkName(name); rej.reason != NoReason {
		return rej
	}
	next := b.Contract.Clone()
	if rej := sm.checkKeys(&next); rej.reason != NoReason {
		return rej
	}
	next.Sort()
	for _, h := range next.KeyHashes {
		sm.addKey(h, name)
	}
	sm.setOrganisation(&organisation{Name: name, Change: c, Contract: &next})
	return rejection{}
}

// applyContractWithdrawn withdraws the contract and, permanently, its keys: a key restored
// by a later contract would be a withdrawn key that is valid again.
func (sm *StateMachine) applyContractWithdrawn(b ContractWithdrawn, c Change) rejection {
	old, found := sm.organisations.get(b.Organisation)
	if !found || old.Contract == nil {
		return rejection{reason: NoContract, detail: fmt.Sprintf("%q has no contract", b.Organisation)}
	}
	if rej := sm.checkBase(b.Organisation, b.Base); rej.reason != NoReason {
		return rej
	}
	for _, h := range old.Contract.KeyHashes {
		sm.withdrawKey(h)
	}
	sm.setOrganisation(&organisation{Name: old.Name, Change: c})
	return rejection{}
}

func (sm *StateMachine) applyKeyGiven(b KeyGiven, c Change) rejection {
	if !contract.ValidKeyHash(b.KeyHash) {
		return rejection{reason: Invalid, detail: "key hash is not 64 hex digits"}
	}
	old, found := sm.organisations.get(b.Organisation)
	if !found || old.Contract == nil {
		return rejection{reason: NoContract, detail: fmt.Sprintf("%q has no contract", b.Organisation)}
	}
	if slices.Contains(old.Contract.KeyHashes, b.KeyHash) {
		return rejection{}
	}
	next := old.Contract.Clone()
	next.KeyHashes = append(next.KeyHashes, b.KeyHash)
	if err := next.Validate(); err != nil {
		return rejection{reason: Invalid, detail: err.Error()}
	}
	if rej := sm.checkKeys(&next); rej.reason != NoReason {
		return rej
	}
	next.Sort()
	sm.addKey(b.KeyHash, old.Name)
	sm.setOrganisation(&organisation{Name: old.Name, Change: c, Contract: &next})
	return rejection{}
}

// applyKeyWithdrawn has no base revision, so it never conflicts. It also applies to a key
// that is given only later in the stream.
func (sm *StateMachine) applyKeyWithdrawn(b KeyWithdrawn, c Change) rejection {
	id, ok := parseKeyID(b.KeyHash)
	if !ok || !contract.ValidKeyHash(b.KeyHash) {
		return rejection{reason: Invalid, detail: "key hash is not 64 hex digits"}
	}
	owner, given := sm.keys.get(id)
	sm.withdrawKey(b.KeyHash)
	if !given {
		return rejection{}
	}
	old, _ := sm.organisations.get(owner)
	next := old.Contract.Clone()
	next.KeyHashes = slices.DeleteFunc(next.KeyHashes, func(h galenastair.KeyHash) bool { return h == b.KeyHash })
	sm.setOrganisation(&organisation{Name: owner, Change: c, Contract: &next})
	return rejection{}
}

func (sm *StateMachine) checkBase(name galenastair.Organisation, base galenastair.Offset) rejection {
	old, found := sm.organisations.get(name)
	if !found && base == NoRevision {
		return rejection{}
	}
	if found && base == old.Change.Offset {
		return rejection{}
	}
	rej := rejection{reason: Conflict, detail: fmt.Sprintf("made from revision %d", base)}
	if found {
		rej.existing = old.Change
	}
	return rej
}

// checkName rejects a name that is visually confusable with another organisation's name.
func (sm *StateMachine) checkName(name galenastair.Organisation) rejection {
	other, found := sm.skeletons[contract.Skeleton(name)]
	if !found || other == name {
		return rejection{}
	}
	o, _ := sm.organisations.get(other)
	return rejection{reason: NameConfusable, existing: o.Change, detail: fmt.Sprintf("name %q is confusable with %q", name, other)}
}

// checkKeys rejects withdrawn keys and keys of other organisations. A contract that lists
// no keys keeps the current ones. One that lists keys must list all current ones, since a
// missing key could mean either that it is kept or that it is withdrawn.
func (sm *StateMachine) checkKeys(c *contract.Contract) rejection {
	for _, h := range c.KeyHashes {
		if rej := sm.checkKey(h, c.Organisation); rej.reason != NoReason {
			return rej
		}
	}
	old, found := sm.organisations.get(c.Organisation)
	if !found || old.Contract == nil {
		return rejection{}
	}
	if len(c.KeyHashes) == 0 {
		c.KeyHashes = slices.Clone(old.Contract.KeyHashes)
		return rejection{}
	}
	for _, h := range old.Contract.KeyHashes {
		if !slices.Contains(c.KeyHashes, h) {
			return rejection{reason: KeyOmitted, existing: old.Change, detail: fmt.Sprintf("key hash %s is in force but not listed; list it or withdraw it", h)}
		}
	}
	return rejection{}
}

func (sm *StateMachine) checkKey(h galenastair.KeyHash, name galenastair.Organisation) rejection {
	id, _ := parseKeyID(h)
	if _, withdrawn := sm.withdrawn.get(id); withdrawn {
		return rejection{reason: KeyWasWithdrawn, detail: fmt.Sprintf("key hash %s was withdrawn and cannot be used again", h)}
	}
	owner, given := sm.keys.get(id)
	if !given || owner == name {
		return rejection{}
	}
	// the message does not disclose the owner to another organisation's operator
	return rejection{reason: KeyTaken, detail: fmt.Sprintf("key hash %s belongs to another organisation", h)}
}

func (sm *StateMachine) addKey(h galenastair.KeyHash, name galenastair.Organisation) {
	id, _ := parseKeyID(h)
	sm.keys.put(id, name)
}

func (sm *StateMachine) withdrawKey(h galenastair.KeyHash) {
	id, _ := parseKeyID(h)
	sm.keys.remove(id)
	if _, already := sm.withdrawn.get(id); already {
		return
	}
	sm.withdrawn.put(id, struct{}{})
	sm.digest.add(id[:])
}
