package planner

import (
	"context"

	"galenastair/account"
	"galenastair/quota"
)

// Note is what a leader leaves on the platform for those that come after it.
type Note struct {
	quota.Note
	// Table names the owners of the organisations' accounts, if they have any.
	account.Table
}

// SetNote takes in what a leader before this one left on the platform.
func (p *Planner) SetNote(ctx context.Context, n Note) error {
	return p.loop.Post(ctx, func() { p.note = n })
}

// Note returns what is to be left on the platform; false if this instance has nothing to
// say, as it does not plan or has not counted the instances yet.
func (p *Planner) Note(ctx context.Context) (Note, bool) {
	var n Note
	ok := false
	err := p.loop.Do(ctx, func() {
		switch {
		case !p.held || !p.lease.Holds():
		case p.owned:
			n, ok = p.ownersNote()
		default:
			n.Note, ok = p.lender.Note(p.clock.Now())
		}
	})
	return n, ok && err == nil
}

// Noted takes in that a note of this term stands on the platform.
func (p *Planner) Noted(ctx context.Context, n Note) error {
	return p.loop.Post(ctx, func() {
		switch {
		case !p.held:
		case n.Version != 0:
			p.ownersNoted(n.Table)
		default:
			p.lender.Noted(n.Note)
		}
	})
}
