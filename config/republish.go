package config

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"galenastair"
)

// maxPartBytes bounds the data in one record of a snapshot, since the log limits the record size.
const maxPartBytes = 256 << 10

// snapshotRecords splits a snapshot of the view into records.
func snapshotRecords(v *View, author string) ([]galenastair.Record, error) {
	data := v.Snapshot()
	parts := (len(data) + maxPartBytes - 1) / maxPartBytes
	if parts > maxParts {
		return nil, eris.Errorf("snapshot of %d bytes is too large", len(data))
	}
	var records []galenastair.Record
	for part := range parts {
		body := SnapshotTaken{Covers: v.next, Digest: v.digest, Part: part, Parts: parts}
		body.Data = data[part*maxPartBytes : min(len(data), (part+1)*maxPartBytes)]
		r, err := NewRecord(KindSnapshotTaken, author, body)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// appendSnapshot appends a snapshot of the view.
//
// The lost response of an append needs no handling: a snapshot changes no state, a second
// snapshot of the same offset is identical, and an incomplete one is not used.
func appendSnapshot(ctx context.Context, l galenastair.Log, v *View, author string) error {
	records, err := snapshotRecords(v, author)
	if err != nil {
		return err
	}
	for _, r := range records {
		data, err := json.Marshal(r)
		if err != nil {
			return eris.Wrap(err, "encode snapshot")
		}
		if _, err := l.Append(ctx, galenastair.ConfigurationStream, data); err != nil {
			return eris.Wrap(err, "append snapshot")
		}
	}
	return nil
}
