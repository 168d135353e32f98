package node

import (
	"context"
	"encoding/json"
	"time"

	"galenastair/lease"
	"galenastair/planner"
	"galenastair/platform"
)

// checkpointer returns the callbacks with which the elector stores the leader's state on the
// platform and restores it.
func (n *Node) checkpointer(ctx context.Context) lease.Note {
	return lease.Note{
		Topic: platform.NoteTopic,
		Write: func() []byte {
			state, ok := n.planner.Note(ctx)
			if !ok {
				return nil
			}
			data, err := json.Marshal(state)
			if err != nil {
				n.logger.Log("event", "note", "err", err)
			}
			return data
		},
		Written: func(data []byte) {
			if state, ok := n.decodeLeaderState(data); ok {
				n.logPostError(n.planner.Noted(ctx, state))
			}
		},
		Read: func(data []byte, first bool) {
			state, ok := n.decodeLeaderState(data)
			if !ok {
				return
			}
			n.logPostError(n.planner.SetNote(ctx, state))
			n.borrower.Presume(time.Now(), n.settings.ID, state.Note, first)
		},
	}
}

func (n *Node) decodeLeaderState(data []byte) (planner.Note, bool) {
	var state planner.Note
	err := json.Unmarshal(data, &state)
	if err != nil {
		n.logger.Log("event", "note", "note", string(data), "err", err)
	}
	return state, err == nil
}
