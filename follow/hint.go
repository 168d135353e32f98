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
	// Changes takes in what was told in another form than records, from Next to End; nil if
	// nothing was.
	Changes func()
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
	first := h.Next - galenastair.Offset(len(h.Records))
	switch {
	case h.Changes != nil && h.Next <= f.from && f.from < h.End:
		h.Changes()
		f.moveTo(h.End)
	case len(h.Records) > 0 && first <= f.from && h.Next > f.from:
		fresh := galenastair.KeyedBatch{Records: h.Records[f.from-first:], Next: h.Next, End: h.End}
		f.apply(fresh, false)
		f.moveTo(h.Next)
	}
	if f.from < h.End {
		return false
	}
	f.confirm(h.AsOf)
	f.heard(h.AsOf)
	f.hinted = max(f.hinted, h.AsOf)
	return true
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
