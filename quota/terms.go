package quota

import (
	"time"

	"galenastair/catalog"
)

// Terms are the platform's bounds on what an organisation gets over its quota, in any
// span as long as Window: a share Over of what the quota gives then, and Slack.
type Terms struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// burstUse is the part of the bounds that goes into the burst. Rates are drawn up for
// windows of seconds, and requests of thousands of tokens come in clumps, which a bucket
// of the bare burst refuses though the window has room.
// The rest is for what a change of the lender, or a cut, can add.
const burstUse = 0.38

// bounds is what the platform allows beyond the quota in a window.
func (t Terms) bounds(o *catalog.Organisation) float64 {
	return t.Over*(t.Window.Seconds()*o.Rate+o.Burst) + t.Slack
}

// use is what an organisation gets of the bounds.
func (t Terms) use(o *catalog.Organisation) float64 { return burstUse * t.bounds(o) }

// Most is the most that an organisation may take at one moment.
func (t Terms) Most(o *catalog.Organisation) float64 { return o.Burst + t.use(o) }

// Lending returns the rate and size of the bucket that an organisation borrows from.
//
// Load: an organisation that goes on asking somewhat above its rate, as after an
// operator has lowered it. Harm: the quota allows a burst in every window, but a bucket
// of rate and burst gives the burst once and then the rate alone, so that requests within
// the quota are refused, the large ones first. So the burst comes in with the rate, over
// the window, as far as the bounds leave a bucket for clumps; what a window can get at
// most, size + rate x window, stays the same.
func (t Terms) Lending(o *catalog.Organisation) (rate, size float64) {
	if t.Window <= 0 {
		// a platform that names no window: nothing to spread the burst over
		return o.Rate, t.Most(o)
	}
	size = max(t.use(o), o.Burst-t.use(o))
	return o.Rate + (t.Most(o)-size)/t.Window.Seconds(), size
}

// reserveUse is the part of the bounds that instances begin with when the lender falls
// silent: their own parts fill so slowly that a quiet organisation would wait seconds
// for its first request.
const reserveUse = 0.15

// reserve is what all instances together may begin alone with.
func (t Terms) reserve(o *catalog.Organisation) float64 {
	return reserveUse * t.bounds(o)
}

const (
	// silentAfter is how long without an exchange, though none failed, parts an instance
	// from the lender. Idle instances exchange each 0.6 s.
	silentAfter = 1200 * time.Millisecond
	// firstCount is how long a lender listens before it counts the instances: all that
	// reach it exchange in that time.
	firstCount = 700 * time.Millisecond
	// firstStart is the same where nobody knows how many there were before: a system that
	// starts for the first time, of which some instance may be late.
	firstStart = 3 * time.Second
	// aloneFor is for how long an instance alone spends its whole part, longAlone what
	// remains of it then, and missedFor when the lender deals its part to the others. An
	// instance goes by its last exchange too, so it has come down to longAlone by then.
	aloneFor  = 5 * time.Second
	missedFor = 7 * time.Second
	longAlone = 0.1
	// startedAlone is for how long a process that no lender has answered yet spends its whole
	// part: the next lender is there by then. The lender may have missed the process before
	// it for a while; with aloneFor, after which the note names that no more, it is less than
	// missedFor.
	startedAlone = 2 * time.Second
)
