package speed

import "slices"

// ring holds the latest values of a series.
type ring struct {
	values []float32
	// next is the index of the oldest value once there are as many as fit.
	next int
}

// add adds a value, in place of the oldest if there are size of them.
func (r *ring) add(v float64, size int) {
	if len(r.values) < size {
		r.values = append(r.values, float32(v))
		return
	}
	r.next %= len(r.values)
	r.values[r.next] = float32(v)
	r.next++
}

// shift adds d to all values.
func (r *ring) shift(d float64) {
	for i := range r.values {
		r.values[i] += float32(d)
	}
}

// level returns the mean of the values without the slowest and the fastest.
func (r *ring) level() float64 {
	var buf [maxOffsetWindow]float32
	sorted := buf[:copy(buf[:], r.values)]
	slices.Sort(sorted)
	n := len(sorted)
	from := int(fastest * float64(n))
	to := max(from+1, n-int(slowest*float64(n)))
	sum := 0.0
	for _, v := range sorted[from:to] {
		sum += float64(v)
	}
	return sum / float64(to-from)
}
