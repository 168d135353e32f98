package claim

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

const (
	// Lifetime is how long a claim stands: a caller that repeats a bid or an
	// acknowledgement does so within minutes, and a longer one costs memory (see doc.go).
	Lifetime = time.Hour
	// freeTerm is how long an attempt that did not run is remembered, against
	// messages about it that arrive late; calls time out far earlier.
	freeTerm = time.Minute
	// tableLimit bounds the memory of a table to about 21 MB (343 bytes each); beyond it, new
	// claims are refused, since dropping one could run a request twice.
	tableLimit = 60_000
	// unsettledWait is when a caller is told to ask again about a running request.
	unsettledWait = time.Second
	// unavailableWait is when a caller is told to come back while claims cannot be
	// kept: a dead member has lapsed by then.
	unavailableWait = 3 * time.Second
)

// errAbandoned says that the sender has given the attempt up already.
var errAbandoned = eris.New("the attempt was given up before it was asked for")

// Table holds the attempts that one instance keeps, as sender, home or copy.
//
// A key can have several attempts: a new home learns of all that are under way,
// also of those that its predecessor is about to refuse. It counts as taken until
// every one of them is known not to have run.
type Table struct {
	attempts map[Key][]*Attempt
	size     int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{attempts: make(map[Key][]*Attempt)} }

// Open records an attempt if no other holds its key; present tells whether the sender of an attempt still runs.
func (t *Table) Open(now time.Time, a Attempt, present func(*Attempt) bool) error {
	t.expire(now, a.Key)
	var own *Attempt
	var conflict error
	for _, other := range t.attempts[a.Key] {
		if other.ID == a.ID {
			own = other
			continue
		}
		conflict = worse(conflict, refusal(a, other, present))
	}
	switch {
	case conflict != nil:
		return conflict
	case own != nil && own.State != Open:
		return errAbandoned
	case own != nil:
		return nil
	case t.size >= tableLimit:
		return galenastair.Refuse(galenastair.ErrClaimUnavailable, unavailableWait, "too many claims")
	}
	a.State = Open
	a.Began = now
	t.add(a)
	return nil
}

// refusal says why an attempt cannot have a key while another stands.
func refusal(a Attempt, other *Attempt, present func(*Attempt) bool) *galenastair.Refusal {
	switch {
	case other.free():
		return nil
	case other.Digest != a.Digest:
		return galenastair.Refuse(galenastair.ErrBadRequest, 0, "the idempotency key belongs to a different request")
	case other.State == Open && present(other):
		return &galenastair.Refusal{Cause: galenastair.ErrDuplicateUnsettled, Outcome: galenastair.Unknown, RetryAfter: unsettledWait}
	case other.State == Open:
		// the sender died, before or after it sent: nobody can tell
		return &galenastair.Refusal{Cause: galenastair.ErrDuplicate, Outcome: galenastair.Unknown}
	default:
		return &galenastair.Refusal{Cause: galenastair.ErrDuplicate, Outcome: other.State}
	}
}

// worse keeps the refusal that says most: that the request has run.
func worse(err error, r *galenastair.Refusal) error {
	if r == nil || err != nil && r.Outcome != galenastair.Ran {
		return err
	}
	return r
}

// Merge takes in attempts as other instances know them; it says which are kept.
//
// What a sender has settled stands over Open, in whatever order they arrive.
func (t *Table) Merge(now time.Time, list ...Attempt) []bool {
	kept := make([]bool, len(list))
	for i, a := range list {
		t.expire(now, a.Key)
		kept[i] = t.merge(now, a)
	}
	return kept
}

func (t *Table) merge(now time.Time, a Attempt) bool {
	known := t.find(a.Key, a.ID)
	if known == nil {
		if t.size >= tableLimit {
			return false
		}
		t.add(a)
		return true
	}
	known.settle(now, a.State)
	known.Copies = union(known.Copies, a.Copies)
	known.Kept = union(known.Kept, a.Kept)
	return true
}

// union returns a new list, since attempts that were listed share the old one.
func union[T comparable](a, b []T) []T {
	for _, id := range b {
		if !slices.Contains(a, id) {
			a = append(slices.Clip(a), id)
		}
	}
	return a
}

// Settle records the outcome of an attempt and returns the attempt.
func (t *Table) Settle(now time.Time, k Key, id AttemptID, o galenastair.Outcome) (Attempt, bool) {
	known := t.find(k, id)
	if known == nil || known.State != Open {
		return Attempt{}, false
	}
	known.settle(now, o)
	return *known, true
}

// List returns all attempts.
func (t *Table) List(now time.Time) []Attempt {
	t.Expire(now)
	list := make([]Attempt, 0, t.size)
	for _, attempts := range t.attempts {
		for _, a := range attempts {
			list = append(list, *a)
		}
	}
	return list
}

// Expire forgets what has ended, in all keys.
func (t *Table) Expire(now time.Time) {
	for k := range t.attempts {
		t.expire(now, k)
	}
}

// Len returns the number of attempts kept.
func (t *Table) Len() int { return t.size }

func (t *Table) expire(now time.Time, k Key) {
	list, ok := t.attempts[k]
	if !ok {
		return
	}
	before := len(list)
	list = slices.DeleteFunc(list, func(a *Attempt) bool {
		term := Lifetime
		if a.free() {
			term = freeTerm
		}
		return !now.Before(a.Began.Add(term))
	})
	t.size -= before - len(list)
	if len(list) == 0 {
		delete(t.attempts, k)
		return
	}
	t.attempts[k] = list
}

func (t *Table) find(k Key, id AttemptID) *Attempt {
	for _, a := range t.attempts[k] {
		if a.ID == id {
			return a
		}
	}
	return nil
}

func (t *Table) add(a Attempt) {
	t.attempts[a.Key] = append(t.attempts[a.Key], &a)
	t.size++
}
