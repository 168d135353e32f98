package planner

import (
	"context"

	"galenastair/quota"
)

// SetNote takes in what a holder of the duty before this one left on the platform.
func (p *Planner) SetNote(ctx context.Context, n quota.Note) error {
	return p.loop.Post(ctx, func() { p.note = n })
}

// Note returns what is to be left on the platform; false if this instance has nothing to
// say, as it does not plan or has not counted the instances yet.
func (p *Planner) Note(ctx context.Context) (quota.Note, bool) {
	var n quota.Note
	ok := false
	err := p.loop.Do(ctx, func() {
		if p.held && p.duty.Holds() {
			n, ok = p.lender.Note(p.clock.Now())
		}
	})
	return n, ok && err == nil
}

// Noted takes in that a note of this term stands on the platform.
func (p *Planner) Noted(ctx context.Context, n quota.Note) error {
	return p.loop.Post(ctx, func() {
		if p.held {
			p.lender.Noted(n)
		}
	})
}
