package planner

import (
	"context"
	"time"

	"galenastair/account"
	"galenastair/claim"
	"galenastair/quota"
)

// Checkpoint is what a leader stores on the platform for its successors.
type Checkpoint struct {
	quota.Checkpoint
	// Table assigns the organisations' accounts to owners, if they have any.
	account.Table
	// Refused are crashes of the requests that are refused, and RefusedAt is when they last changed.
	Refused   []claim.Crash `json:",omitempty"`
	RefusedAt time.Time     `json:",omitzero"`
	// Suspected are the crashes under prompt parts that are refused.
	Suspected []claim.PartEvent `json:",omitempty"`
}

// Restore sets the checkpoint that a previous leader stored.
func (p *Planner) Restore(ctx context.Context, c Checkpoint) error {
	return p.loop.Post(ctx, func() { p.inherited = c })
}

// Checkpoint returns the checkpoint to store. It returns false if this instance does not lead or
// has not counted the instances yet.
func (p *Planner) Checkpoint(ctx context.Context) (Checkpoint, bool) {
	var c Checkpoint
	ok := false
	err := p.loop.Do(ctx, func() {
		switch {
		case !p.leading || !p.lease.Holds():
		case p.hasOwners:
			c, ok = p.ownersCheckpoint()
		default:
			c.Checkpoint, ok = p.lender.Checkpoint(p.clock.Now())
		}
		c.Refused, c.RefusedAt = p.refusedCheckpoint(p.clock.Now())
		c.Suspected = p.suspectedCheckpoint(p.clock.Now())
	})
	return c, ok && err == nil
}

// CheckpointStored records that the platform has stored a checkpoint of this term.
func (p *Planner) CheckpointStored(ctx context.Context, c Checkpoint) error {
	return p.loop.Post(ctx, func() {
		switch {
		case !p.leading:
		case c.Version != 0:
			p.ownersStored(c.Table)
		default:
			p.lender.CheckpointStored(c.Checkpoint)
		}
	})
}
