package quota

// bucket holds tokens up to a size; it starts empty, as a restart must not bring a second
// burst. What comes in is added by its owner, who knows for which time.
type bucket struct {
	level float64
	// rate is in tokens a second.
	rate float64
	most float64
}

// set changes rate and size; a lower size binds at once.
func (b *bucket) set(rate, most float64) {
	b.rate, b.most = rate, most
	b.level = min(b.level, most)
}

func (b *bucket) add(n float64) { b.level = min(b.most, b.level+n) }

func (b *bucket) take(n float64) bool {
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// takeWhole takes n for one request, from a full bucket also more than it holds, up to
// largest: a request larger than the bucket would be refused for good. What it lacks
// comes in before anything else is taken.
func (b *bucket) takeWhole(n, largest float64) bool {
	if b.take(n) {
		return true
	}
	if n > largest || b.level < b.most {
		return false
	}
	b.level -= n
	return true
}

// upTo takes as much of n as there is.
func (b *bucket) upTo(n float64) float64 {
	n = max(0, min(n, b.level))
	b.level -= n
	return n
}
