package member

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"galenastair"
)

// snapshot is the membership section of a snapshot record.
type snapshot struct {
	Epoch   galenastair.Epoch
	Ring    []Member
	Fence   galenastair.Fence
	Last    galenastair.Offset
	Changes []Change
}

// Snapshot returns the membership section of a snapshot record. Equal states give equal bytes.
func (s *State) Snapshot() (json.RawMessage, error) {
	raw, err := json.Marshal(snapshot{s.Epoch, s.Ring, s.Fence, s.LastApplied, s.Changes})
	return raw, eris.Wrap(err, "encode membership")
}

// Restore replaces the state by the membership section of a snapshot that covers the records before
// an offset.
func (s *State) Restore(covers galenastair.Offset, raw json.RawMessage) error {
	var snap snapshot
	if err := json.Unmarshal(raw, &snap); err != nil {
		return eris.Wrap(err, "decode membership")
	}
	*s = State{
		View: View{Epoch: snap.Epoch, Ring: snap.Ring}, Fence: snap.Fence,
		Offset: covers, LastApplied: snap.Last, Changes: snap.Changes, rules: s.rules,
	}
	return nil
}

// Views returns the rings of the kept epochs, oldest first, with the current one last.
func (s *State) Views() []View {
	views := []View{s.View}
	ring := slices.Clone(s.Ring)
	for i := len(s.Changes) - 1; i >= 0; i-- {
		ring = undo(ring, s.Changes[i])
		views = append(views, View{Epoch: s.epochBefore(i), Ring: slices.Clone(ring)})
	}
	slices.Reverse(views)
	return views
}

func (s *State) epochBefore(i int) galenastair.Epoch {
	if i == 0 {
		return s.Changes[0].Epoch - 1
	}
	return s.Changes[i-1].Epoch
}

func undo(ring []Member, c Change) []Member {
	for _, p := range c.Inserted {
		ring = slices.DeleteFunc(ring, func(m Member) bool { return m.Incarnation == p.Member.Incarnation })
	}
	for _, p := range c.Removed {
		ring = slices.Insert(ring, min(p.Index, len(ring)), p.Member)
	}
	return ring
}
