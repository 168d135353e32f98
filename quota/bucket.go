package quota

// bucket holds tokens up to a capacity. It starts empty, so that a restart does not allow a second
// burst. It does not refill by itself: the caller adds tokens, as it knows for which time they are
// due.
type bucket struct {
	level float64
	// rate is in tokens per second.
	rate     float64
	capacity float64
}

// set changes rate and capacity; a lower capacity takes effect at once.
func (b *bucket) set(rate, capacity float64) {
	b.rate, b.capacity = rate, capacity
	b.level = min(b.level, capacity)
}

func (b *bucket) add(n float64) { b.level = min(b.capacity, b.level+n) }

func (b *bucket) take(n float64) bool {
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// takeWithDebt takes n for one request. A full bucket also grants more than it holds, up to
// largest, because a request larger than the bucket would otherwise never be admitted. The debt is
// repaid before anything else is taken.
func (b *bucket) takeWithDebt(n, largest float64) bool {
	if b.take(n) {
		return true
	}
	if n > largest || b.level < b.capacity {
		return false
	}
	b.level -= n
	return true
}

// takeUpTo takes n, or what the bucket holds if that is less.
func (b *bucket) takeUpTo(n float64) float64 {
	n = max(0, min(n, b.level))
	b.level -= n
	return n
}
