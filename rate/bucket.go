package rate

import (
	"time"

	"galenastair"
)

// unit is the number of bucket units in a token: a ShareRate times a time in
// nanoseconds is then a whole number of units, so that nothing is rounded and no
// drift adds up.
const unit = int64(time.Second) * Holders

// maxBurst keeps a level in units within 64 bits.
const maxBurst = galenastair.Tokens(1<<62) / galenastair.Tokens(unit)

// Bucket is the token bucket of one share; what it has lent occupies its
// capacity until the loan is closed.
//
// Load: an organisation that sends several times its rate through all instances.
// Harm prevented: level plus lent never exceeds the burst and rises by the rate
// alone, so that what can be spent in any time t, by anyone, is at most burst
// plus rate times t, whatever becomes of the messages.
type Bucket struct {
	share   Share
	level   int64
	lent    int64
	updated time.Time
	rooms   rooms
}

// NewBucket returns an empty bucket that fills from the given time on, which may lie ahead.
func NewBucket(s Share, from time.Time) *Bucket {
	return &Bucket{share: bounded(s), updated: from}
}

// NewFullBucket returns a bucket that holds its whole burst.
func NewFullBucket(s Share, now time.Time) *Bucket {
	b := NewBucket(s, now)
	b.level = b.capacity()
	return b
}

func bounded(s Share) Share {
	return Share{Rate: max(s.Rate, 0), Burst: min(max(s.Burst, 0), maxBurst)}
}

func (b *Bucket) capacity() int64 { return int64(b.share.Burst) * unit }

// room is what the bucket can still take in; it is negative while more is lent than a lowered burst.
func (b *Bucket) room() int64 { return b.capacity() - b.level - b.lent }

// full says that nothing can come in before a loan is closed.
func (b *Bucket) full() bool { return b.lent > 0 && b.room() <= 0 }

func (b *Bucket) accrue(now time.Time) {
	if !now.After(b.updated) {
		return
	}
	elapsed := int64(now.Sub(b.updated))
	b.updated = now
	room := b.room()
	if room <= 0 || b.share.Rate == 0 {
		return
	}
	if elapsed > room/int64(b.share.Rate) {
		b.level += room
		return
	}
	b.level += elapsed * int64(b.share.Rate)
}

// Available returns the whole tokens that can be taken now.
func (b *Bucket) Available(now time.Time) galenastair.Tokens {
	b.accrue(now)
	return galenastair.Tokens(b.level / unit)
}

// Take spends n tokens if they are there.
func (b *Bucket) Take(now time.Time, n galenastair.Tokens) bool {
	if n < 0 || b.Available(now) < n {
		return false
	}
	b.rooms.note(b.room())
	b.level -= int64(n) * unit
	return true
}

// Lend sets n tokens aside for a borrower if they are there.
func (b *Bucket) Lend(now time.Time, n galenastair.Tokens) bool {
	if n < 0 || b.Available(now) < n {
		return false
	}
	b.level -= int64(n) * unit
	b.lent += int64(n) * unit
	return true
}

// Close ends a loan of which spent tokens were used, and returns the mark that a later Refund needs.
func (b *Bucket) Close(now time.Time, loan, spent galenastair.Tokens) Mark {
	b.accrue(now)
	mark := b.rooms.note(b.room())
	b.lent -= int64(loan) * unit
	b.level += int64(loan-spent) * unit
	b.trim()
	return mark
}

// Refund takes back n tokens that were counted as spent before the mark and were not.
//
// Had they not been counted, the bucket might have been full since and lost what
// came in: only the least room since the mark can be given back. Without this
// limit, an organisation that holds many charges open and settles them late all
// at once would get its burst twice.
func (b *Bucket) Refund(now time.Time, n galenastair.Tokens, since Mark) {
	b.accrue(now)
	back := min(int64(n)*unit, b.rooms.least(since), b.room())
	if back <= 0 {
		return
	}
	b.level += back
	b.rooms.narrow(since, back)
}

// Change puts another share in force: less at once, more as it comes in.
func (b *Bucket) Change(now time.Time, s Share) {
	b.accrue(now)
	b.share = bounded(s)
	b.trim()
}

// trim keeps the level within what a lowered burst leaves.
func (b *Bucket) trim() {
	b.level = max(0, min(b.level, b.capacity()-b.lent))
}
