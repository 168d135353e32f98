package config

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"galenastair"
)

// partSize bounds one record of a snapshot, since a log bounds its records.
const partSize = 256 << 10

// snapshotRecords cuts a snapshot of the view into records.
func snapshotRecords(v *View, author string) ([]galenastair.Record, error) {
	data := v.Snapshot()
	parts := (len(data) + partSize - 1) / partSize
	if parts > maxParts {
		return nil, eris.Errorf("a snapshot of %d bytes does not fit", len(data))
	}
	var records []galenastair.Record
	for part := range parts {
		body := SnapshotTaken{Covers: v.next, Digest: v.digest, Part: part, Parts: parts}
		body.Data = data[part*partSize : min(len(data), (part+1)*partSize)]
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
// A lost append answer needs no care: a snapshot changes no fold, a second one
// of the offset is identical, and an incomplete one is not used.
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
