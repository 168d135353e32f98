package config

import (
	"maps"
	"slices"

	"galenastair"
	"galenastair/contract"
)

// View is the configuration at one offset. It is immutable and safe for concurrent use.
type View struct {
	next          galenastair.Offset
	rulesVersion  int
	digest        Digest
	recent        []appliedRecord
	reasonCounts  map[Reason]int64
	organisations *cowMap[galenastair.Organisation, *organisation]
	keys          *cowMap[keyID, galenastair.Organisation]
	withdrawn     *cowMap[keyID, struct{}]
	superseded    chan struct{}
}

// View returns the current configuration.
func (sm *StateMachine) View() *View {
	return &View{
		next:          sm.next,
		rulesVersion:  sm.rulesVersion,
		digest:        sm.digest,
		recent:        sm.recent.list,
		reasonCounts:  maps.Clone(sm.reasonCounts),
		organisations: sm.organisations.freeze(),
		keys:          sm.keys.freeze(),
		withdrawn:     sm.withdrawn.freeze(),
		superseded:    make(chan struct{}),
	}
}

// LookupKey returns the state of a key; it returns false for a key that was neither given
// nor withdrawn.
func (v *View) LookupKey(h galenastair.KeyHash) (Key, bool) {
	id, ok := parseKeyID(h)
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

// Contract returns the organisation's contract in force.
func (v *View) Contract(name galenastair.Organisation) (*contract.Contract, bool) {
	o, found := v.organisations.get(name)
	if !found || o.Contract == nil {
		return nil, false
	}
	return o.Contract, true
}

// LastChange returns the last change of an organisation's configuration, which may be a withdrawal.
func (v *View) LastChange(name galenastair.Organisation) Change {
	o, found := v.organisations.get(name)
	if !found {
		return Change{Offset: NoRevision}
	}
	return o.Change
}

// Organisations returns the sorted names of the organisations with a contract in force.
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

// Offset returns the offset of the first record that the view does not include.
func (v *View) Offset() galenastair.Offset { return v.next }

// Digest returns the digest of the view; equal views have equal digests.
func (v *View) Digest() Digest { return v.digest }

// SkippedCount returns how many records this instance has rejected or skipped for a reason
// since it started.
func (v *View) SkippedCount(r Reason) int64 { return v.reasonCounts[r] }

// Superseded returns a channel that is closed when a newer view replaces this one.
func (v *View) Superseded() <-chan struct{} { return v.superseded }
