package config

import "galenastair"

// maxParts bounds the parts of a snapshot, and so what a reader may hold of an unfinished one.
const maxParts = 256

// snapshotName is what the parts of one snapshot have in common. Parts of two
// leaders may mix, since snapshots of one offset are identical bytes.
type snapshotName struct {
	Covers galenastair.Offset
	Digest Digest
	Parts  int
}

// assembly puts the parts of snapshots together and keeps the newest valid one.
type assembly struct {
	name   snapshotName
	parts  [][]byte
	newest *Fold
}

func (a *assembly) add(rec galenastair.LogRecord) {
	r, err := decodeRecord(rec.Data)
	if err != nil || r.Kind != KindSnapshotTaken {
		return
	}
	var b SnapshotTaken
	if err := decode(r.Body, &b); err != nil || !b.sound() {
		return
	}
	if name := (snapshotName{b.Covers, b.Digest, b.Parts}); name != a.name {
		a.name, a.parts = name, make([][]byte, b.Parts)
	}
	a.parts[b.Part] = b.Data
	a.finish()
}

func (b *SnapshotTaken) sound() bool {
	return b.Parts >= 1 && b.Parts <= maxParts && b.Part >= 0 && b.Part < b.Parts && len(b.Data) > 0
}

// finish takes a whole snapshot up.
//
// Failure: the parts hold another fold than their records name. It would show
// as a mismatch that no running instance reports, since those compare only what
// is named. The guard holds since the data itself is summed up here.
func (a *assembly) finish() {
	var data []byte
	for _, part := range a.parts {
		if part == nil {
			return
		}
		data = append(data, part...)
	}
	f, err := Restore(data)
	if err != nil || f.Next() != a.name.Covers || f.Digest() != a.name.Digest {
		return
	}
	if a.newest == nil || f.Next() > a.newest.Next() {
		a.newest = f
	}
}
