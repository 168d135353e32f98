package rate

// Mark is a position in the history of one bucket.
type Mark int64

// maxHeadroomPoints bounds the memory of a bucket's history. When it is exceeded, the
// two oldest points are merged into one with the lower headroom, so that late refunds
// may return fewer tokens than they could but never more.
const maxHeadroomPoints = 16

type headroomPoint struct {
	mark     Mark
	headroom int64
}

// headroomHistory records how close to full a bucket has been, and since when.
//
// It keeps only the points that are the minimum of some suffix, so their headroom
// increases from the oldest to the newest.
type headroomHistory struct {
	last   Mark
	points []headroomPoint
}

// record adds the headroom immediately before it increases.
func (r *headroomHistory) record(headroom int64) Mark {
	r.last++
	keep := len(r.points)
	for keep > 0 && r.points[keep-1].headroom >= headroom {
		keep--
	}
	r.points = append(r.points[:keep], headroomPoint{r.last, headroom})
	if len(r.points) > maxHeadroomPoints {
		r.points[1].headroom = r.points[0].headroom
		r.points = append(r.points[:0], r.points[1:]...)
	}
	return r.last
}

// minSince returns the minimum headroom recorded after the mark.
func (r *headroomHistory) minSince(since Mark) int64 {
	for _, p := range r.points {
		if p.mark > since {
			return p.headroom
		}
	}
	return int64(maxBurst) * unitsPerToken
}

// reduceSince lowers the headroom after the mark, as if the tokens had been in the
// bucket since then.
func (r *headroomHistory) reduceSince(since Mark, by int64) {
	kept := r.points
	r.points = r.points[:0]
	for _, p := range kept {
		if p.mark > since {
			p.headroom -= by
		}
		for len(r.points) > 0 && r.points[len(r.points)-1].headroom >= p.headroom {
			r.points = r.points[:len(r.points)-1]
		}
		r.points = append(r.points, p)
	}
}
