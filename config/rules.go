package config

import (
	"fmt"
	"slices"

	"galenastair"
	"galenastair/contract"
)

// contractPublished accepts the first of two changes made from one revision.
//
// Failure: two operators change one contract at once, or one publishes a text
// from last week. It would show as one of the changes silently undone. The
// guard holds since every instance compares the same base with the same
// revision, in the order of the log.
func (f *Fold) contractPublished(b ContractPublished, c Change) rejection {
	if err := b.Contract.Validate(); err != nil {
		return rejection{reason: Invalid, detail: err.Error()}
	}
	name := b.Contract.Organisation
	if no := f.checkBase(name, b.Base); no.reason != NoReason {
		return no
	}
	if no := f.checkName(name); no.reason != NoReason {
		return no
	}
	next := b.Contract.Clone()
	if no := f.checkKeys(&next); no.reason != NoReason {
		return no
	}
	next.Sort()
	for _, h := range next.KeyHashes {
		f.giveKey(h, name)
	}
	f.set(&organisation{Name: name, Change: c, Contract: &next})
	return rejection{}
}

// contractWithdrawn ends the contract and, for good, its keys: one that came
// back with a later contract would be a withdrawn key that works again.
func (f *Fold) contractWithdrawn(b ContractWithdrawn, c Change) rejection {
	old, found := f.organisations.get(b.Organisation)
	if !found || old.Contract == nil {
		return rejection{reason: NoContract, detail: fmt.Sprintf("%q has no contract", b.Organisation)}
	}
	if no := f.checkBase(b.Organisation, b.Base); no.reason != NoReason {
		return no
	}
	for _, h := range old.Contract.KeyHashes {
		f.withdrawKey(h)
	}
	f.set(&organisation{Name: old.Name, Change: c})
	return rejection{}
}

func (f *Fold) keyGiven(b KeyGiven, c Change) rejection {
	if !contract.ValidKeyHash(b.KeyHash) {
		return rejection{reason: Invalid, detail: "the key hash is not 64 hex digits"}
	}
	old, found := f.organisations.get(b.Organisation)
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
	if no := f.checkKeys(&next); no.reason != NoReason {
		return no
	}
	next.Sort()
	f.giveKey(b.KeyHash, old.Name)
	f.set(&organisation{Name: old.Name, Change: c, Contract: &next})
	return rejection{}
}

// keyWithdrawn never loses a race: it names no revision, and it also holds for
// a key that is only given later in the stream.
func (f *Fold) keyWithdrawn(b KeyWithdrawn, c Change) rejection {
	id, ok := toKeyID(b.KeyHash)
	if !ok || !contract.ValidKeyHash(b.KeyHash) {
		return rejection{reason: Invalid, detail: "the key hash is not 64 hex digits"}
	}
	owner, given := f.keys.get(id)
	f.withdrawKey(b.KeyHash)
	if !given {
		return rejection{}
	}
	old, _ := f.organisations.get(owner)
	next := old.Contract.Clone()
	next.KeyHashes = slices.DeleteFunc(next.KeyHashes, func(h galenastair.KeyHash) bool { return h == b.KeyHash })
	f.set(&organisation{Name: owner, Change: c, Contract: &next})
	return rejection{}
}

func (f *Fold) checkBase(name galenastair.Organisation, base galenastair.Offset) rejection {
	old, found := f.organisations.get(name)
	if !found && base == NoRevision {
		return rejection{}
	}
	if found && base == old.Change.Offset {
		return rejection{}
	}
	no := rejection{reason: Conflict, detail: fmt.Sprintf("made from revision %d", base)}
	if found {
		no.winner = old.Change
	}
	return no
}

// checkName refuses a name that readers take for another organisation's.
func (f *Fold) checkName(name galenastair.Organisation) rejection {
	other, found := f.skeletons[contract.Skeleton(name)]
	if !found || other == name {
		return rejection{}
	}
	o, _ := f.organisations.get(other)
	return rejection{reason: NameConfusable, winner: o.Change, detail: fmt.Sprintf("%q reads like %q", name, other)}
}

// checkKeys refuses withdrawn keys and other organisations' keys. A contract
// that lists no keys keeps those in force; one that lists keys must list all
// in force, since a reader could take a missing one for withdrawn or for kept.
func (f *Fold) checkKeys(c *contract.Contract) rejection {
	for _, h := range c.KeyHashes {
		if no := f.checkKey(h, c.Organisation); no.reason != NoReason {
			return no
		}
	}
	old, found := f.organisations.get(c.Organisation)
	if !found || old.Contract == nil {
		return rejection{}
	}
	if len(c.KeyHashes) == 0 {
		c.KeyHashes = slices.Clone(old.Contract.KeyHashes)
		return rejection{}
	}
	for _, h := range old.Contract.KeyHashes {
		if !slices.Contains(c.KeyHashes, h) {
			return rejection{reason: KeyOmitted, winner: old.Change, detail: fmt.Sprintf("key hash %s is in force: list it, or withdraw it", h)}
		}
	}
	return rejection{}
}

func (f *Fold) checkKey(h galenastair.KeyHash, name galenastair.Organisation) rejection {
	id, _ := toKeyID(h)
	if _, withdrawn := f.withdrawn.get(id); withdrawn {
		return rejection{reason: KeyWasWithdrawn, detail: fmt.Sprintf("key hash %s was withdrawn and cannot come back", h)}
	}
	owner, given := f.keys.get(id)
	if !given || owner == name {
		return rejection{}
	}
	// the owner is not named to another organisation's operator
	return rejection{reason: KeyTaken, detail: fmt.Sprintf("key hash %s belongs to another organisation", h)}
}

func (f *Fold) giveKey(h galenastair.KeyHash, name galenastair.Organisation) {
	id, _ := toKeyID(h)
	f.keys.put(id, name)
}

func (f *Fold) withdrawKey(h galenastair.KeyHash) {
	id, _ := toKeyID(h)
	f.keys.drop(id)
	if _, already := f.withdrawn.get(id); already {
		return
	}
	f.withdrawn.put(id, struct{}{})
	f.digest.add(id[:])
}
