package claim

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

const (
	// Lifetime is how long a claim is kept. Callers repeat a bid or an acknowledgement within
	// minutes, and a longer time takes more memory (see doc.go).
	Lifetime = time.Hour
	// releasedRetention is how long an attempt that did not run is kept, so that late messages
	// about it do not open it again. It is far above the timeout of a call.
	releasedRetention = time.Minute
	// maxAttempts bounds the memory of a table to about 21 MB (343 bytes an attempt). A full
	// table refuses new claims, since evicting one could let a request run twice.
	maxAttempts = 60_000
	// unsettledRetryAfter is the Retry-After for a request that is still running.
	unsettledRetryAfter = time.Second
	// unavailableRetryAfter is the Retry-After while claims cannot be stored. The lease of a
	// member that died has expired by then.
	unavailableRetryAfter = 3 * time.Second
)

// errAlreadySettled is returned when the attempt was settled before the owner was asked to grant it.
var errAlreadySettled = eris.New("the attempt was given up before it was asked for")

// Table holds the attempts that one instance stores as sender, owner or copy.
//
// A key can have several attempts, since a new owner receives all that are in progress,
// including those that the previous owner is about to refuse. The key counts as claimed
// until all of its attempts are known not to have run.
type Table struct {
	attempts map[Key][]*Attempt
	size     int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{attempts: make(map[Key][]*Attempt)} }

// Open records an attempt unless another one holds its key. The function isSenderMember reports
// whether the process that sent an attempt is still a member.
func (t *Table) Open(now time.Time, a Attempt, isSenderMember func(*Attempt) bool) error {
	t.expire(now, a.Key)
	var own *Attempt
	var conflict error
	for _, other := range t.attempts[a.Key] {
		if other.ID == a.ID {
			own = other
			continue
		}
		conflict = mostInformative(conflict, conflictRefusal(a, other, isSenderMember))
	}
	switch {
	case conflict != nil:
		return conflict
	case own != nil && own.State != Open:
		return errAlreadySettled
	case own != nil:
		return nil
	case t.size >= maxAttempts:
		return galenastair.NewRefusal(galenastair.ErrClaimUnavailable, unavailableRetryAfter, "too many claims")
	}
	a.State = Open
	a.StartedAt = now
	t.add(a)
	return nil
}

// conflictRefusal returns the refusal of an attempt whose key has another attempt, or nil if
// that one has released the key.
func conflictRefusal(a Attempt, other *Attempt, isSenderMember func(*Attempt) bool) *galenastair.Refusal {
	switch {
	case other.isReleased():
		return nil
	case other.Digest != a.Digest:
		return galenastair.NewRefusal(galenastair.ErrBadRequest, 0, "the idempotency key belongs to a different request")
	case other.State == Open && isSenderMember(other):
		return &galenastair.Refusal{Cause: galenastair.ErrDuplicateInProgress, Outcome: galenastair.OutcomeUnknown, RetryAfter: unsettledRetryAfter}
	case other.State == Open:
		// The sender died, and whether it had sent the request is not known.
		return &galenastair.Refusal{Cause: galenastair.ErrDuplicate, Outcome: galenastair.OutcomeUnknown}
	default:
		return &galenastair.Refusal{Cause: galenastair.ErrDuplicate, Outcome: other.State}
	}
}

// mostInformative returns the refusal to report. One whose outcome is Ran has precedence.
func mostInformative(err error, r *galenastair.Refusal) error {
	if r == nil || err != nil && r.Outcome != galenastair.OutcomeRan {
		return err
	}
	return r
}

// Merge adds or updates attempts received from other instances, and reports which of them are
// stored.
//
// An outcome replaces Open and is never replaced by it, whatever the order of arrival.
func (t *Table) Merge(now time.Time, list ...Attempt) []bool {
	stored := make([]bool, len(list))
	for i, a := range list {
		t.expire(now, a.Key)
		stored[i] = t.merge(now, a)
	}
	return stored
}

func (t *Table) merge(now time.Time, a Attempt) bool {
	known := t.find(a.Key, a.ID)
	if known == nil {
		if t.size >= maxAttempts {
			return false
		}
		t.add(a)
		return true
	}
	known.settle(now, a.State)
	known.CopyTargets = union(known.CopyTargets, a.CopyTargets)
	known.ConfirmedCopies = union(known.ConfirmedCopies, a.ConfirmedCopies)
	return true
}

// union returns a new slice when it adds elements, since attempts returned by List share the old one.
func union[T comparable](a, b []T) []T {
	for _, id := range b {
		if !slices.Contains(a, id) {
			a = append(slices.Clip(a), id)
		}
	}
	return a
}

// Settle sets the outcome of an open attempt and returns the attempt. It returns false if there
// is no such open attempt.
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

// Expire removes expired attempts of all keys.
func (t *Table) Expire(now time.Time) {
	for k := range t.attempts {
		t.expire(now, k)
	}
}

// Len returns the number of stored attempts.
func (t *Table) Len() int { return t.size }

func (t *Table) expire(now time.Time, k Key) {
	list, ok := t.attempts[k]
	if !ok {
		return
	}
	before := len(list)
	list = slices.DeleteFunc(list, func(a *Attempt) bool {
		ttl := Lifetime
		if a.isReleased() {
			ttl = releasedRetention
		}
		return !now.Before(a.StartedAt.Add(ttl))
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
