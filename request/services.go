package request

import (
	"slices"
	"sync"
	"time"

	"galenastair"
)

// retryService is when a caller may come back while a service has no instance:
// the platform's list lags by about as much.
const retryService = 2 * time.Second

// ServiceList chooses among the listed instances of plain services.
type ServiceList struct {
	near galenastair.AvailabilityZone

	mu       sync.Mutex
	listed   []galenastair.ListedInstance
	inFlight map[galenastair.BackendServerID]int
}

// NewServiceList returns an empty list for an entry in the given availability zone.
func NewServiceList(near galenastair.AvailabilityZone) *ServiceList {
	return &ServiceList{near: near, inFlight: map[galenastair.BackendServerID]int{}}
}

// Set replaces what is listed.
func (l *ServiceList) Set(listed []galenastair.ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = listed
}

// Choose picks the instance with the fewest calls under way, and among equals
// one in the own availability zone. It is made for short calls of even cost;
// one slow instance keeps its calls longer and so gets fewer new ones. Leaving
// instances get none.
func (l *ServiceList) Choose(name galenastair.ServiceName, exclude []galenastair.BackendServerID) (ServiceGrant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := -1
	for i, s := range l.listed {
		if s.Leaving || s.Service != name || slices.Contains(exclude, galenastair.BackendServerID(s.ID)) {
			continue
		}
		if best < 0 || l.better(s, l.listed[best]) {
			best = i
		}
	}
	if best < 0 {
		return ServiceGrant{}, galenastair.Refuse(galenastair.ErrNoBackendServer, retryService, string(name))
	}
	return l.grant(l.listed[best]), nil
}

func (l *ServiceList) better(a, b galenastair.ListedInstance) bool {
	busyA := l.inFlight[galenastair.BackendServerID(a.ID)]
	busyB := l.inFlight[galenastair.BackendServerID(b.ID)]
	if busyA != busyB {
		return busyA < busyB
	}
	return a.AvailabilityZone == l.near && b.AvailabilityZone != l.near
}

func (l *ServiceList) grant(s galenastair.ListedInstance) ServiceGrant {
	id := galenastair.BackendServerID(s.ID)
	l.inFlight[id]++
	return ServiceGrant{Server: id, Address: s.Address, Reason: "LeastCalls", Release: func() { l.release(id) }}
}

func (l *ServiceList) release(id galenastair.BackendServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[id]--
	if l.inFlight[id] == 0 {
		delete(l.inFlight, id)
	}
}
