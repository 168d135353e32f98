package node

import (
	"sync"
	"time"

	"galenastair"
	"galenastair/boottime"
)

// fetchScheduler assigns each instance a source for records that are too large to be sent to all
// by the leader: a few instances of each availability zone read the store, and the others fetch
// from instances of the zone that have read further. It is designed for hundreds of instances,
// some of which the store may refuse, and for versions that are published faster than one
// version reaches all instances.
type fetchScheduler struct {
	mu    sync.Mutex
	zones map[galenastair.AvailabilityZone]map[string]*reader
}

// reader is an instance that reports how far it has read.
type reader struct {
	offset     galenastair.Offset
	lastReport boottime.Time
	// assignedAt is when the instance was assigned the store, 0 if it has read further since.
	assignedAt boottime.Time
	// assignments are the times at which this instance was assigned as the source of another.
	assignments []boottime.Time
}

const (
	// storeReadTimeout is the time within which an instance reads the store and reports it.
	storeReadTimeout = 800 * time.Millisecond
	// reportTimeout is the time after its last report at which an instance is removed: two
	// report intervals and one lost report.
	reportTimeout = 2 * time.Second
	// fanOut is the number of instances that one instance serves within storeReadTimeout. A slow
	// link can carry that many copies of the records.
	fanOut = 8
)

// fetchSource is the source from which an instance gets the records that it lacks.
type fetchSource struct {
	// Wait reports that another instance is still reading the records.
	Wait bool
	// Peer is the address of an instance that has the records, or only some of them if Wait is
	// set. If Peer is empty and Wait is not set, the source is the store.
	Peer string
}

// assign records the offset that an instance has reported and returns a source for the rest.
func (s *fetchScheduler) assign(now boottime.Time, zone galenastair.AvailabilityZone, address string, offset, end galenastair.Offset) fetchSource {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.recordReport(now, zone, address, offset)
	if offset >= end {
		return fetchSource{}
	}
	readers := s.zones[zone]
	if peer, r := mostAdvanced(now, readers, address); r != nil && r.offset > offset {
		r.assignments = append(r.assignments, now)
		return fetchSource{Peer: peer, Wait: r.offset < end}
	}
	if storeReaders(now, readers) >= (len(readers)+fanOut-1)/fanOut {
		return fetchSource{Wait: true}
	}
	own.assignedAt = now
	return fetchSource{}
}

// recordReport records a report, and removes instances of the zone that have stopped reporting.
func (s *fetchScheduler) recordReport(now boottime.Time, zone galenastair.AvailabilityZone, address string, offset galenastair.Offset) *reader {
	if s.zones == nil {
		s.zones = map[galenastair.AvailabilityZone]map[string]*reader{}
	}
	readers := s.zones[zone]
	if readers == nil {
		readers = map[string]*reader{}
		s.zones[zone] = readers
	}
	for other, r := range readers {
		if now.Sub(r.lastReport) > reportTimeout {
			delete(readers, other)
		}
	}
	r := readers[address]
	if r == nil {
		r = &reader{}
		readers[address] = r
	}
	if offset > r.offset {
		r.assignedAt = 0
	}
	r.offset, r.lastReport = offset, now
	return r
}

// mostAdvanced returns, among the instances with capacity, the one that has read furthest, and of
// equals the one with the fewest assignments. It returns nil if no instance has capacity.
func mostAdvanced(now boottime.Time, readers map[string]*reader, except string) (string, *reader) {
	var address string
	var best *reader
	for other, r := range readers {
		if other == except || !r.hasCapacity(now) {
			continue
		}
		if best == nil || r.offset > best.offset || r.offset == best.offset && len(r.assignments) < len(best.assignments) {
			address, best = other, r
		}
	}
	return address, best
}

// hasCapacity reports whether the instance may be assigned as a source once more.
func (r *reader) hasCapacity(now boottime.Time) bool {
	for len(r.assignments) > 0 && now.Sub(r.assignments[0]) >= storeReadTimeout {
		r.assignments = r.assignments[1:]
	}
	return len(r.assignments) < fanOut
}

// storeReaders returns the number of instances that are assigned the store and have not read
// further yet.
func storeReaders(now boottime.Time, readers map[string]*reader) int {
	n := 0
	for _, r := range readers {
		if r.assignedAt != 0 && now.Sub(r.assignedAt) < storeReadTimeout {
			n++
		}
	}
	return n
}
