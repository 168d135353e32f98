package config

import (
	"maps"
	"slices"

	"galenastair"
	"galenastair/contract"
)

// View is the configuration at one offset; it never changes and may be read by any goroutine.
type View struct {
	next          galenastair.Offset
	rules         int
	digest        Digest
	recent        []applied
	skipped       map[Reason]int64
	organisations *table[galenastair.Organisation, *organisation]
	keys          *table[keyID, galenastair.Organisation]
	withdrawn     *table[keyID, struct{}]
	superseded    chan struct{}
}

// View returns what the fold holds now.
func (f *Fold) View() *View {
	return &View{
		next:          f.next,
		rules:         f.rules,
		digest:        f.digest,
		recent:        f.recent.list,
		skipped:       maps.Clone(f.counts),
		organisations: f.organisations.freeze(),
		keys:          f.keys.freeze(),
		withdrawn:     f.withdrawn.freeze(),
		superseded:    make(chan struct{}),
	}
}

// ByKey returns what is known of a key; false says that it was never given.
func (v *View) ByKey(h galenastair.KeyHash) (Key, bool) {
	id, ok := toKeyID(h)
	if !ok {
		return Key{}, false
	}
	if name, found := v.keys.get(id); found {
		c, _ := v.Contract(name)
		return Key{Organisation: name, Contract: c}, true
	}
	_, withdrawn := v.withdrawn.get(id)
	return Key{Withdrawn: withdrawn}, withdrawn
}

// Contract returns the contract in force of an organisation.
func (v *View) Contract(name galenastair.Organisation) (*contract.Contract, bool) {
	o, found := v.organisations.get(name)
	if !found || o.Contract == nil {
		return nil, false
	}
	return o.Contract, true
}

// Latest returns the change that an organisation's configuration comes from, also after a withdrawal.
func (v *View) Latest(name galenastair.Organisation) Change {
	o, found := v.organisations.get(name)
	if !found {
		return Change{Offset: NoRevision}
	}
	return o.Change
}

// Organisations returns the organisations with a contract in force, sorted.
func (v *View) Organisations() []galenastair.Organisation {
	var names []galenastair.Organisation
	for name, o := range v.organisations.all {
		if o.Contract != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Offset returns the offset of the first record that the view does not hold.
func (v *View) Offset() galenastair.Offset { return v.next }

// Digest returns the sum over all that the view holds; equal views have equal digests.
func (v *View) Digest() Digest { return v.digest }

// Skipped returns how many records this instance has rejected or skipped for a reason since it started.
func (v *View) Skipped(r Reason) int64 { return v.skipped[r] }

// Superseded returns a channel that is closed when a newer view has taken this one's place.
func (v *View) Superseded() <-chan struct{} { return v.superseded }
