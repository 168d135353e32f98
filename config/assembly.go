package config

import "galenastair"

// maxParts bounds the number of parts of a snapshot, and with it the memory that a reader
// uses for an incomplete one.
const maxParts = 256

// snapshotID identifies the snapshot that a part belongs to. Parts that were appended
// by different leaders can be combined, since snapshots of the same offset are
// byte-identical.
type snapshotID struct {
	Covers galenastair.Offset
	Digest Digest
	Parts  int
}

// snapshotAssembler joins the parts of snapshots and keeps the newest valid one.
type snapshotAssembler struct {
	id     snapshotID
	parts  [][]byte
	newest *StateMachine
}

func (a *snapshotAssembler) add(rec galenastair.LogRecord) {
	r, err := decodeRecord(rec.Data)
	if err != nil || r.Kind != KindSnapshotTaken {
		return
	}
	var b SnapshotTaken
	if err := decode(r.Body, &b); err != nil || !b.valid() {
		return
	}
	if name := (snapshotID{b.Covers, b.Digest, b.Parts}); name != a.id {
		a.id, a.parts = name, make([][]byte, b.Parts)
	}
	a.parts[b.Part] = b.Data
	a.assemble()
}

func (b *SnapshotTaken) valid() bool {
	return b.Parts >= 1 && b.Parts <= maxParts && b.Part >= 0 && b.Part < b.Parts && len(b.Data) > 0
}

// assemble restores the current snapshot once all of its parts are present.
//
// It recomputes the digest from the data. Running instances compare only the
// digest named in the records, so none of them would report a snapshot whose data
// holds a different state than its records name.
func (a *snapshotAssembler) assemble() {
	var data []byte
	for _, part := range a.parts {
		if part == nil {
			return
		}
		data = append(data, part...)
	}
	sm, err := Restore(data)
	if err != nil || sm.Next() != a.id.Covers || sm.Digest() != a.id.Digest {
		return
	}
	if a.newest == nil || sm.Next() > a.newest.Next() {
		a.newest = sm
	}
}
