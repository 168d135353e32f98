package node

import (
	"sync"
	"time"

	"galenastair"
	"galenastair/boottime"
)

// sources says where instances get records that are too large to be told to all: a few of each
// availability zone read the store, and the others of the zone ask those that are ahead of
// them. It is made for hundreds of instances, of which the store may refuse some, and for
// versions that come faster than one gets around.
type sources struct {
	mu    sync.Mutex
	zones map[galenastair.AvailabilityZone]map[string]*reader
}

// reader is an instance that has reported how far it has read.
type reader struct {
	position galenastair.Offset
	heard    boottime.Time
	// asked is when it was sent to the store, if it has not come further since.
	asked boottime.Time
	// served are the times at which others were sent to it.
	served []boottime.Time
}

const (
	// readTime is what an instance takes to read the store and to report that it has.
	readTime = 800 * time.Millisecond
	// readerLife is how long an instance that reports no more counts: two exchanges, and one
	// that was lost.
	readerLife = 2 * time.Second
	// fanOut is how many others an instance serves within readTime: the records of so many
	// fit a small link.
	fanOut = 8
)

// direction is where an instance gets the records that it lacks.
type direction struct {
	// Wait says that another instance is reading them.
	Wait bool
	// Peer is the address of an instance that has some of them, and with Wait not all; if
	// empty, the store has.
	Peer string
}

// direct records how far an instance has read and says where it gets the rest.
func (s *sources) direct(now boottime.Time, zone galenastair.AvailabilityZone, address string, position, end galenastair.Offset) direction {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.record(now, zone, address, position)
	if position >= end {
		return direction{}
	}
	readers := s.zones[zone]
	if peer, r := furthest(now, readers, address); r != nil && r.position > position {
		r.served = append(r.served, now)
		return direction{Peer: peer, Wait: r.position < end}
	}
	if reading(now, readers) >= (len(readers)+fanOut-1)/fanOut {
		return direction{Wait: true}
	}
	own.asked = now
	return direction{}
}

// record takes in a report, and forgets the instances that report no more.
func (s *sources) record(now boottime.Time, zone galenastair.AvailabilityZone, address string, position galenastair.Offset) *reader {
	if s.zones == nil {
		s.zones = map[galenastair.AvailabilityZone]map[string]*reader{}
	}
	readers := s.zones[zone]
	if readers == nil {
		readers = map[string]*reader{}
		s.zones[zone] = readers
	}
	for other, r := range readers {
		if now.Sub(r.heard) > readerLife {
			delete(readers, other)
		}
	}
	r := readers[address]
	if r == nil {
		r = &reader{}
		readers[address] = r
	}
	if position > r.position {
		r.asked = 0
	}
	r.position, r.heard = position, now
	return r
}

// furthest returns the instance that has read the furthest of those that have room for one
// more to serve, and of equals the one that serves the fewest; nil if none has.
func furthest(now boottime.Time, readers map[string]*reader, except string) (string, *reader) {
	var address string
	var best *reader
	for other, r := range readers {
		if other == except || !r.hasRoom(now) {
			continue
		}
		if best == nil || r.position > best.position || r.position == best.position && len(r.served) < len(best.served) {
			address, best = other, r
		}
	}
	return address, best
}

// hasRoom says whether the instance may serve one more.
func (r *reader) hasRoom(now boottime.Time) bool {
	for len(r.served) > 0 && now.Sub(r.served[0]) >= readTime {
		r.served = r.served[1:]
	}
	return len(r.served) < fanOut
}

// reading counts the instances that were sent to the store and have not come further yet.
func reading(now boottime.Time, readers map[string]*reader) int {
	n := 0
	for _, r := range readers {
		if r.asked != 0 && now.Sub(r.asked) < readTime {
			n++
		}
	}
	return n
}
