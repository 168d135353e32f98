package follow

import (
	"time"

	"galenastair"
	"galenastair/boottime"
)

// hintAge is how old the store's word may be that keeps a follower from asking itself,
// counted from when the store gave it. It is more than the poll of the instance that
// passes it on and an exchange with that take together, and less than the time in which
// a new version must be in force everywhere: whoever gives hints may have lost the store.
const hintAge = 1600 * time.Millisecond

// Hint is what another instance has read of the topic.
type Hint struct {
	galenastair.KeyedBatch
	// AsOf is when the store confirmed that the topic ended there, by this instance's
	// clock: not later than it was.
	AsOf boottime.Time
	// Lazy says that no records are passed on, and that those behind Urgent may wait.
	Lazy   bool
	Urgent galenastair.Offset
}

// lazyRead is how long records may wait that are not urgent: what they tell of backend
// servers' contents an instance also hears from the one that plans.
const lazyRead = 5 * time.Second

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
//
// Gain: at 77 instances, each asking the store for two topics, its calls cost a tenth
// and more of all that the day was worth; one instance asks now, and tells the others.
func (f *Follower) take(h Hint) bool {
	if !f.know || h.End < f.from || f.clock().Sub(h.AsOf) > hintAge {
		return false
	}
	if h.Lazy && f.from < h.End {
		return f.takeLazy(h)
	}
	first := h.Next - galenastair.Offset(len(h.Records))
	if len(h.Records) > 0 && first <= f.from && h.Next > f.from {
		fresh := galenastair.KeyedBatch{Records: h.Records[f.from-first:], Next: h.Next, End: h.End}
		f.apply(fresh, false)
		f.moveTo(h.Next)
	}
	if f.from < h.End {
		return false
	}
	f.confirm(h.AsOf)
	f.heard(h.AsOf)
	f.hinted = h.AsOf
	return true
}

// takeLazy goes by a hint that passes no records on. It says whether the store need not be
// asked for now.
//
// Load: 77 instances and 90 backend servers, whose entries change some ten times a second
// as adapters come and go. Harm: each change costs each instance a call, a tenth of all that
// a day is worth, and passed on they fill the link of the instance that reads them. Few of
// them must be known at once: those of a server that comes, leaves or is gone.
func (f *Follower) takeLazy(h Hint) bool {
	if f.from <= h.Urgent || f.clock().Sub(f.read) > lazyRead {
		return false
	}
	f.heard(h.AsOf)
	f.hinted = h.AsOf
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
	if !f.know || f.hinted == 0 {
		return 0
	}
	return hintAge - f.clock().Sub(f.hinted)
}
