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
func (n *Node) checkpointer(ctx context.Context) lease.Checkpointer {
	return lease.Checkpointer{
		Topic: platform.CheckpointTopic,
		Checkpoint: func() []byte {
			state, ok := n.planner.Checkpoint(ctx)
			if !ok {
				return nil
			}
			data, err := json.Marshal(state)
			if err != nil {
				n.logger.Log("event", "note", "err", err)
			}
			return data
		},
		Stored: func(data []byte) {
			if state, ok := n.decodeLeaderState(data); ok {
				n.logPostError(n.planner.CheckpointStored(ctx, state))
			}
		},
		Restore: func(data []byte, first bool) {
			state, ok := n.decodeLeaderState(data)
			if !ok {
				return
			}
			n.logPostError(n.planner.Restore(ctx, state))
			n.leaderClient.poisonTracker.RestoreRefused(time.Now(), state.RefusedAt, state.Refused)
			n.leaderClient.partTracker.Restore(time.Now(), state.Suspected)
			n.borrower.Restore(time.Now(), n.settings.ID, state.Checkpoint, first)
		},
	}
}

func (n *Node) decodeLeaderState(data []byte) (planner.Checkpoint, bool) {
	var state planner.Checkpoint
	err := json.Unmarshal(data, &state)
	if err != nil {
		n.logger.Log("event", "note", "note", string(data), "err", err)
	}
	return state, err == nil
}
