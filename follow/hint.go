package follow

import (
	"time"

	"galenastair"
	"galenastair/boottime"
)

// defaultHintLife is for a follower whose owner sets none.
const defaultHintLife = 1600 * time.Millisecond

// Hint is what another instance has read of the topic.
type Hint struct {
	galenastair.KeyedBatch
	// AsOf is when the store confirmed that the topic ended there, by this instance's
	// clock: not later than it was.
	AsOf boottime.Time
	// FromAsOf is when the store last confirmed that the topic ended where the hint begins, as
	// this instance had read it; 0 is not known. While records come faster than they get
	// around, an instance never has all, and goes by how old what it has is.
	FromAsOf boottime.Time
	// Changes takes in what was told in another form than records, from Next to End; nil if
	// nothing was.
	Changes func()
	// Wait says that the records which this instance lacks will be had elsewhere soon.
	Wait bool
	// Fetch gets them from another instance; nil if only the store has them.
	Fetch func(from galenastair.Offset) (galenastair.KeyedBatch, error)
}

// Position returns the offset to go on from; false before the first answer.
func (f *Follower) Position() (galenastair.Offset, bool) {
	at := f.position.Load()
	return galenastair.Offset(at - 1), at != 0
}

// Tell hands a hint to the follower; an older one that it has not looked at is dropped.
func (f *Follower) Tell(h Hint) {
	select {
	case <-f.hints:
	default:
	}
	select {
	case f.hints <- h:
	default:
	}
}

// take goes by a hint. It says whether the store need not be asked for now.
func (f *Follower) take(h Hint) bool {
	if !f.know || f.clock().Sub(h.AsOf) > f.hintLife {
		return false
	}
	switch {
	case h.Changes != nil && h.Next <= f.from && f.from < h.End:
		h.Changes()
		f.moveTo(h.End)
	case len(h.Records) > 0 && h.From() <= f.from && h.Next > f.from:
		f.apply(h.after(f.from), false)
		f.moveTo(h.Next)
	}
	f.heard(h.AsOf)
	if h.FromAsOf != 0 && h.From() <= f.from {
		f.confirmByHint(h.FromAsOf)
	}
	if f.from < h.End && !f.fetch(h) {
		return h.Wait
	}
	f.confirmByHint(h.AsOf)
	return true
}

func (f *Follower) confirmByHint(asOf boottime.Time) {
	f.confirm(asOf)
	f.hinted = max(f.hinted, asOf)
}

// after returns what a hint tells from an offset on, which it has records of.
func (h Hint) after(from galenastair.Offset) galenastair.KeyedBatch {
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

// fetch gets the records before a hint's end from another instance; false if it can't.
func (f *Follower) fetch(h Hint) bool {
	if h.Fetch == nil {
		return false
	}
	b, err := h.Fetch(f.from)
	if err != nil || b.From() != f.from {
		f.logger.Log("event", "fetch", "topic", f.topic, "offset", f.from, "err", err)
		return false
	}
	f.apply(b, false)
	f.moveTo(b.Next)
	return f.from >= h.End
}

func (f *Follower) moveTo(next galenastair.Offset) {
	f.from, f.know = next, true
	f.position.Store(int64(next) + 1)
}

// heard notes that the store lives.
func (f *Follower) heard(at boottime.Time) {
	if int64(at) > f.answered.Load() {
		f.answered.Store(int64(at))
	}
	if f.away.Swap(false) {
		f.logger.Log("event", "dependency regained", "topic", f.topic, "offset", f.from)
	}
}

// spared says for how long hints spare the store a call.
func (f *Follower) spared() time.Duration {
	if !f.know || f.hinted == 0 || f.leads() {
		return 0
	}
	return f.hintLife - f.clock().Sub(f.hinted)
}
