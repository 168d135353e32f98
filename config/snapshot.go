package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"galenastair"
)

// snapshot is the serialised state machine. Slices are sorted, so that snapshots of the
// same offset are byte-identical.
type snapshot struct {
	Next          galenastair.Offset
	Rules         int
	Digest        Digest
	Organisations []*organisation
	Withdrawn     []string
	Recent        []appliedRecord
}

func (a appliedRecord) digestInput() []byte {
	return fmt.Appendf(nil, "%q %d %q", a.Record, a.Offset, a.Outcome)
}

// Snapshot serialises the state machine; Restore is its inverse.
func (sm *StateMachine) Snapshot() []byte { return sm.View().Snapshot() }

// Snapshot serialises the state machine at the view's offset.
func (v *View) Snapshot() []byte {
	s := snapshot{Next: v.next, Rules: v.rulesVersion, Digest: v.digest, Recent: v.recent}
	for _, o := range v.organisations.all {
		s.Organisations = append(s.Organisations, o)
	}
	slices.SortFunc(s.Organisations, func(a, b *organisation) int { return strings.Compare(string(a.Name), string(b.Name)) })
	for id := range v.withdrawn.all {
		s.Withdrawn = append(s.Withdrawn, id.String())
	}
	slices.Sort(s.Withdrawn)
	data, err := json.Marshal(s)
	if err != nil {
		// strings, integers and slices of them always encode
		panic(err)
	}
	return data
}

// Restore returns the state machine that a snapshot was taken of. It verifies the digest
// that the snapshot names.
func Restore(data []byte) (*StateMachine, error) {
	var s snapshot
	if err := decode(data, &s); err != nil {
		return nil, err
	}
	if s.Rules < 1 || s.Rules > maxRulesVersion {
		return nil, eris.Wrapf(ErrMalformed, "unsupported rules version %d of snapshot", s.Rules)
	}
	sm := NewStateMachine()
	sm.next, sm.rulesVersion = s.Next, s.Rules
	for _, o := range s.Organisations {
		if err := sm.restoreOrganisation(o); err != nil {
			return nil, err
		}
	}
	for _, text := range s.Withdrawn {
		if err := sm.restoreWithdrawnKey(text); err != nil {
			return nil, err
		}
	}
	for _, a := range s.Recent {
		sm.recordApplied(a)
	}
	if sm.digest != s.Digest {
		return nil, eris.Wrap(ErrMalformed, "snapshot digest mismatch")
	}
	sm.history.add(sm.next, sm.digest)
	return sm, nil
}

func (sm *StateMachine) restoreOrganisation(o *organisation) error {
	if o == nil {
		return eris.Wrap(ErrMalformed, "organisation is null")
	}
	sm.setOrganisation(o)
	if o.Contract == nil {
		return nil
	}
	if err := o.Contract.Validate(); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	for _, h := range o.Contract.KeyHashes {
		sm.addKey(h, o.Name)
	}
	return nil
}

func (sm *StateMachine) restoreWithdrawnKey(text string) error {
	id, ok := parseKeyID(galenastair.KeyHash(text + strings.Repeat("0", len(text))))
	if !ok {
		return eris.Wrap(ErrMalformed, "invalid hash of withdrawn key")
	}
	sm.withdrawn.put(id, struct{}{})
	sm.digest.add(id[:])
	return nil
}

// verifySnapshot compares the digest of a snapshot in the stream with the digest of this
// state machine at the same offset. It does not apply the snapshot.
//
// If a leader with a faulty build appends a snapshot that differs, instances that start
// from it would use other contracts than those that kept running. Running instances never
// load a snapshot from the stream, and each of them reports the mismatch.
func (sm *StateMachine) verifySnapshot(r galenastair.Record, res ApplyResult) ApplyResult {
	var b SnapshotTaken
	if err := decode(r.Body, &b); err != nil {
		res.Reason, res.Detail = Malformed, err.Error()
		return res
	}
	own, found := sm.history.get(b.Covers)
	switch {
	case !found:
		res.Reason, res.Detail = SnapshotTooOld, fmt.Sprintf("snapshot covers offset %d", b.Covers)
	case own != b.Digest:
		res.Reason, res.Detail = SnapshotMismatch, fmt.Sprintf("snapshot covers offset %d", b.Covers)
	}
	return res
}
