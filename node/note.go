package node

import (
	"context"
	"encoding/json"
	"time"

	"galenastair/lease"
	"galenastair/planner"
	"galenastair/platform"
)

// note ties what the lender leaves on the platform to those that read it.
func (n *Node) note(ctx context.Context) lease.Note {
	return lease.Note{
		Topic: platform.NoteTopic,
		Write: func() []byte {
			note, ok := n.planner.Note(ctx)
			if !ok {
				return nil
			}
			data, err := json.Marshal(note)
			if err != nil {
				n.logger.Log("event", "note", "err", err)
			}
			return data
		},
		Written: func(data []byte) {
			if note, ok := n.decodeNote(data); ok {
				n.post(n.planner.Noted(ctx, note))
			}
		},
		Read: func(data []byte, first bool) {
			note, ok := n.decodeNote(data)
			if !ok {
				return
			}
			n.post(n.planner.SetNote(ctx, note))
			n.share.Presume(time.Now(), n.settings.ID, note.Note, first)
		},
	}
}

func (n *Node) decodeNote(data []byte) (planner.Note, bool) {
	var note planner.Note
	err := json.Unmarshal(data, &note)
	if err != nil {
		n.logger.Log("event", "note", "note", string(data), "err", err)
	}
	return note, err == nil
}
