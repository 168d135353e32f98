package planner

import (
	"context"

	"galenastair/account"
	"galenastair/quota"
)

// LeaderState is what a leader stores on the platform for its successors.
type Note struct {
	quota.Note
	// Table assigns the organisations' accounts to owners, if they have any.
	account.Table
}

// SetInheritedState sets the state that a previous leader stored.
func (p *Planner) SetNote(ctx context.Context, n Note) error {
	return p.loop.Post(ctx, func() { p.inherited = n })
}

// LeaderState returns the state to store. It returns false if this instance does not lead or has
// not counted the instances yet.
func (p *Planner) Note(ctx context.Context) (Note, bool) {
	var n Note
	ok := false
	err := p.loop.Do(ctx, func() {
		switch {
		case !p.leading || !p.lease.Holds():
		case p.hasOwners:
			n, ok = p.ownersState()
		default:
			n.Note, ok = p.lender.Note(p.clock.Now())
		}
	})
	return n, ok && err == nil
}

// StateStored records that the platform has stored a state of this term.
func (p *Planner) Noted(ctx context.Context, n Note) error {
	return p.loop.Post(ctx, func() {
		switch {
		case !p.leading:
		case n.Version != 0:
			p.ownersStored(n.Table)
		default:
			p.lender.Noted(n.Note)
		}
	})
}
