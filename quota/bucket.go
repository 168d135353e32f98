package quota

import "time"

// bucket is a token bucket that starts empty: a restart must not bring a second burst.
type bucket struct {
	level float64
	rate  float64
	most  float64
	at    time.Time
}

// set changes rate and size; a lower size binds at once.
func (b *bucket) set(now time.Time, rate, most float64) {
	b.fill(now)
	b.rate, b.most = rate, most
	b.level = min(b.level, most)
}

func (b *bucket) fill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.level = min(b.most, b.level+b.rate*now.Sub(b.at).Seconds())
	}
	if b.at.IsZero() || now.After(b.at) {
		b.at = now
	}
}

func (b *bucket) take(now time.Time, n float64) bool {
	b.fill(now)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// takeWhole takes n for one request, from a full bucket also more than it holds, up to
// largest: a request larger than the bucket would be refused for good. What it lacks
// comes in before anything else is taken.
func (b *bucket) takeWhole(now time.Time, n, largest float64) bool {
	if b.take(now, n) {
		return true
	}
	if n > largest || b.level < b.most {
		return false
	}
	b.level -= n
	return true
}

// draw takes n. If the bucket can never hold as much, it takes all that there is for a
// chance at n that is as large as the part that it pays: over many draws no more is spent
// than came in.
func (b *bucket) draw(now time.Time, n float64, chance func() float64) bool {
	if b.take(now, n) {
		return true
	}
	if n <= b.most {
		return false
	}
	part := max(0, b.level) / n
	b.level = min(b.level, 0)
	return chance() < part
}

// upTo takes as much of n as there is.
func (b *bucket) upTo(now time.Time, n float64) float64 {
	b.fill(now)
	n = max(0, min(n, b.level))
	b.level -= n
	return n
}
