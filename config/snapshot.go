package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"galenastair"
)

// snapshot is the whole fold as it is written down; lists are sorted, so that
// two snapshots of one offset are identical bytes.
type snapshot struct {
	Next          galenastair.Offset
	Rules         int
	Digest        Digest
	Organisations []*organisation
	Withdrawn     []string
	Recent        []applied
}

func (a applied) entry() []byte { return fmt.Appendf(nil, "%q %d %q", a.Record, a.Offset, a.Outcome) }

// Snapshot returns the fold as bytes, from which Restore makes the same fold again.
func (f *Fold) Snapshot() []byte { return f.View().Snapshot() }

// Snapshot returns the fold that the view was taken of as bytes.
func (v *View) Snapshot() []byte {
	s := snapshot{Next: v.next, Rules: v.rules, Digest: v.digest, Recent: v.recent}
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
		// strings, integers and lists of them always encode
		panic(err)
	}
	return data
}

// Restore returns the fold that a snapshot was taken of; it checks the snapshot against its own digest.
func Restore(data []byte) (*Fold, error) {
	var s snapshot
	if err := decode(data, &s); err != nil {
		return nil, err
	}
	if s.Rules < 1 || s.Rules > rulesVersion {
		return nil, eris.Wrapf(ErrMalformed, "snapshot of rules %d", s.Rules)
	}
	f := NewFold()
	f.next, f.rules = s.Next, s.Rules
	for _, o := range s.Organisations {
		if err := f.restore(o); err != nil {
			return nil, err
		}
	}
	for _, text := range s.Withdrawn {
		if err := f.restoreWithdrawn(text); err != nil {
			return nil, err
		}
	}
	for _, a := range s.Recent {
		f.remember(a)
	}
	if f.digest != s.Digest {
		return nil, eris.Wrap(ErrMalformed, "the snapshot does not match its digest")
	}
	f.history.add(f.next, f.digest)
	return f, nil
}

func (f *Fold) restore(o *organisation) error {
	if o == nil {
		return eris.Wrap(ErrMalformed, "empty organisation")
	}
	f.set(o)
	if o.Contract == nil {
		return nil
	}
	if err := o.Contract.Validate(); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	for _, h := range o.Contract.KeyHashes {
		f.giveKey(h, o.Name)
	}
	return nil
}

func (f *Fold) restoreWithdrawn(text string) error {
	id, ok := toKeyID(galenastair.KeyHash(text + strings.Repeat("0", len(text))))
	if !ok {
		return eris.Wrap(ErrMalformed, "withdrawn key")
	}
	f.withdrawn.put(id, struct{}{})
	f.digest.add(id[:])
	return nil
}

// snapshotTaken compares a republished snapshot with this fold's own past and
// otherwise ignores it.
//
// Failure: a leader of a faulty build republishes a fold that differs. It would
// show as instances that were restarted obeying other contracts than those that
// were not. The guard holds since running instances never take a snapshot from
// the stream, and each reports the mismatch.
func (f *Fold) snapshotTaken(r galenastair.Record, v Verdict) Verdict {
	var b SnapshotTaken
	if err := decode(r.Body, &b); err != nil {
		v.Reason, v.Detail = Malformed, err.Error()
		return v
	}
	own, found := f.history.at(b.Covers)
	switch {
	case !found:
		v.Reason, v.Detail = SnapshotTooOld, fmt.Sprintf("it covers offset %d", b.Covers)
	case own != b.Digest:
		v.Reason, v.Detail = SnapshotMismatch, fmt.Sprintf("it covers offset %d", b.Covers)
	}
	return v
}
