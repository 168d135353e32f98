package rate

// Mark is a position in the history of one bucket.
type Mark int64

// roomPoints bounds the memory of a bucket's history. When more points are
// needed, the two oldest become one that is as strict as both: old refunds may
// then give back less than they could, never more.
const roomPoints = 16

type roomPoint struct {
	mark Mark
	room int64
}

// rooms remembers how near to full a bucket has been, and since when.
//
// Only the points that can be the least of some suffix are kept, so their rooms
// grow from the oldest to the newest.
type rooms struct {
	last   Mark
	points []roomPoint
}

// note records the room just before it grows.
func (r *rooms) note(room int64) Mark {
	r.last++
	keep := len(r.points)
	for keep > 0 && r.points[keep-1].room >= room {
		keep--
	}
	r.points = append(r.points[:keep], roomPoint{r.last, room})
	if len(r.points) > roomPoints {
		r.points[1].room = r.points[0].room
		r.points = append(r.points[:0], r.points[1:]...)
	}
	return r.last
}

// least returns the least room noted after the mark.
func (r *rooms) least(since Mark) int64 {
	for _, p := range r.points {
		if p.mark > since {
			return p.room
		}
	}
	return int64(maxBurst) * unit
}

// narrow counts tokens as if they had been in the bucket ever since the mark.
func (r *rooms) narrow(since Mark, by int64) {
	kept := r.points
	r.points = r.points[:0]
	for _, p := range kept {
		if p.mark > since {
			p.room -= by
		}
		for len(r.points) > 0 && r.points[len(r.points)-1].room >= p.room {
			r.points = r.points[:len(r.points)-1]
		}
		r.points = append(r.points, p)
	}
}
