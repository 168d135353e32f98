package follow

import (
	"time"

	"galenastair"
	"galenastair/boottime"
)

const defaultMaxHintAge = 1600 * time.Millisecond

// Hint is what another instance has read from the topic.
type Hint struct {
	galenastair.KeyedBatch
	// ConfirmedAt is when the store confirmed that the topic ended at End. It is on this
	// instance's clock and never later than the true time.
	ConfirmedAt boottime.Time
	// StartConfirmedAt is when the store last confirmed that the topic ended at the start of
	// the hint, which this instance has reached already; 0 if unknown. While records are
	// written faster than they reach the instances, an instance never has all of them, and
	// uses the age of those that it has.
	StartConfirmedAt boottime.Time
	// ApplyChanges applies the changes from Next to End, if they were sent in another form
	// than records; else nil.
	ApplyChanges func()
	// Wait is set if another instance will have the missing records soon, so that the store
	// need not be polled for them.
	Wait bool
	// Fetch reads the missing records from another instance; nil if only the store has them.
	Fetch func(from galenastair.Offset) (galenastair.KeyedBatch, error)
}

// Position returns the offset to read next; false before the first answer.
func (f *Follower) Position() (galenastair.Offset, bool) {
	at := f.position.Load()
	return galenastair.Offset(at - 1), at != 0
}

// Notify passes a hint to the follower. It replaces an earlier hint that is still unprocessed.
func (f *Follower) Notify(h Hint) {
	select {
	case <-f.hints:
	default:
	}
	select {
	case f.hints <- h:
	default:
	}
}

// applyHint applies a hint and reports whether it replaces a poll of the store.
func (f *Follower) applyHint(h Hint) bool {
	if !f.listed || f.clock().Sub(h.ConfirmedAt) > f.maxHintAge {
		return false
	}
	if h.End.Timeline() > f.next.Timeline() {
		// only a listing tells which keys the store has lost
		f.listed = false
		return false
	}
	switch {
	case h.ApplyChanges != nil && h.Next <= f.next && f.next < h.End:
		h.ApplyChanges()
		f.advance(h.End)
	case len(h.Records) > 0 && h.From() <= f.next && h.Next > f.next:
		f.apply(h.recordsFrom(f.next), false)
		f.advance(h.Next)
	}
	f.markAvailable(h.ConfirmedAt)
	if h.StartConfirmedAt != 0 && h.From() <= f.next {
		f.confirmFromHint(h.StartConfirmedAt)
	}
	if f.next < h.End && !f.fetchMissing(h) {
		return h.Wait
	}
	f.confirmFromHint(h.ConfirmedAt)
	return true
}

func (f *Follower) confirmFromHint(asOf boottime.Time) {
	f.confirm(asOf)
	f.lastHint = max(f.lastHint, asOf)
}

// recordsFrom returns the hint's records from an offset on; the offset lies within them.
func (h Hint) recordsFrom(from galenastair.Offset) galenastair.KeyedBatch {
	first := h.From()
	b := galenastair.KeyedBatch{Next: h.Next, End: h.End}
	for i, r := range h.Records {
		if h.Skipped == 0 {
			r.Offset = first + galenastair.Offset(i)
		}
		if r.Offset >= from {
			b.Records = append(b.Records, r)
		}
	}
	b.Skipped = b.Next - from - galenastair.Offset(len(b.Records))
	return b
}

// fetchMissing reads the records up to the hint's end from another instance, and reports
// whether it got them all.
func (f *Follower) fetchMissing(h Hint) bool {
	if h.Fetch == nil {
		return false
	}
	b, err := h.Fetch(f.next)
	if err != nil || b.From() != f.next {
		f.logger.Log("event", "fetch", "topic", f.topic, "offset", f.next, "err", err)
		return false
	}
	f.apply(b, false)
	f.advance(b.Next)
	return f.next >= h.End
}

func (f *Follower) advance(next galenastair.Offset) {
	f.next, f.listed = next, true
	f.position.Store(int64(next) + 1)
}

// markAvailable records that the store answered.
func (f *Follower) markAvailable(at boottime.Time) {
	if int64(at) > f.lastAnswer.Load() {
		f.lastAnswer.Store(int64(at))
	}
	if f.unavailable.Swap(false) {
		f.logger.Log("event", "dependency regained", "topic", f.topic, "offset", f.next)
	}
}

// pollDelay returns for how long the last hint replaces a poll.
func (f *Follower) pollDelay() time.Duration {
	if !f.listed || f.lastHint == 0 || f.isLeader() {
		return 0
	}
	return f.maxHintAge - f.clock().Sub(f.lastHint)
}
