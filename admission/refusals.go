package admission

import (
	"time"

	"galenastair/claim"
)

// maxRefusals bounds the remembered refusals of an instance.
const maxRefusals = 1024

// refusals remembers the digests of refused requests until their deadlines. The protocol has no ID
// that links two attempts of a caller.
type refusals struct {
	deadlines map[claim.Digest]time.Time
	// order holds the digests in the order of their refusal; the oldest is dropped if the table is full.
	order []claim.Digest
}

func (r *refusals) add(now time.Time, d claim.Digest, deadline time.Time) {
	if d == "" {
		return
	}
	if r.deadlines == nil {
		r.deadlines = map[claim.Digest]time.Time{}
	}
	if _, ok := r.deadlines[d]; !ok {
		r.order = append(r.order, d)
	}
	r.deadlines[d] = deadline
	for len(r.order) > 0 && (len(r.order) > maxRefusals || !now.Before(r.deadlines[r.order[0]])) {
		delete(r.deadlines, r.order[0])
		r.order = r.order[1:]
	}
}

// has reports whether a request with the digest was refused and its deadline has not passed.
func (r *refusals) has(now time.Time, d claim.Digest) bool {
	deadline, ok := r.deadlines[d]
	return ok && now.Before(deadline)
}

func (r *refusals) len() int { return len(r.deadlines) }
