package node

import (
	"sync"
	"time"

	"galenastair"
	"galenastair/boottime"
)

// sources says where instances have records that are too large to be told to all: one of each
// availability zone reads the store, and the others of the zone ask that one. It is made for
// hundreds of instances, of which the store may refuse some.
type sources struct {
	mu    sync.Mutex
	zones map[galenastair.AvailabilityZone]source
}

// source is the instance of a zone that has read the furthest.
type source struct {
	address  string
	position galenastair.Offset
	// asked is when an instance was last sent to the store, for the records before end.
	asked boottime.Time
	end   galenastair.Offset
}

// readTime is what an instance takes to read the store and to report that it has.
const readTime = 800 * time.Millisecond

// direction is where an instance gets the records that it lacks.
type direction struct {
	// Wait says that another instance is reading them.
	Wait bool
	// Peer is the address of an instance that has them; if empty, the store has.
	Peer string
}

// direct notes how far an instance has read and says where it gets the rest.
func (s *sources) direct(now boottime.Time, zone galenastair.AvailabilityZone, address string, position, end galenastair.Offset) direction {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.zones == nil {
		s.zones = map[galenastair.AvailabilityZone]source{}
	}
	src := s.zones[zone]
	if position >= src.position {
		src.address, src.position = address, position
	}
	var out direction
	switch {
	case position >= end:
	case src.position >= end:
		out.Peer = src.address
	case src.end == end && now.Sub(src.asked) < readTime:
		out.Wait = true
	default:
		src.asked, src.end = now, end
	}
	s.zones[zone] = src
	return out
}
