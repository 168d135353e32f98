package request

import (
	"slices"
	"sync"
	"time"

	"galenastair"
)

// serviceRetryAfter is the Retry-After of a request to a service without instances.
// The platform's instance list lags by about that long.
const serviceRetryAfter = 2 * time.Second

// ServiceList balances calls over the listed instances of plain services.
type ServiceList struct {
	zone galenastair.AvailabilityZone

	mu        sync.Mutex
	instances []galenastair.ListedInstance
	inFlight  map[galenastair.BackendServerID]int
}

// NewServiceList returns an empty list that prefers instances in the given availability zone.
func NewServiceList(zone galenastair.AvailabilityZone) *ServiceList {
	return &ServiceList{zone: zone, inFlight: map[galenastair.BackendServerID]int{}}
}

// Set replaces the listed instances.
func (l *ServiceList) Set(listed []galenastair.ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = listed
}

// Choose returns the instance with the fewest calls in flight and prefers its own
// availability zone among equals. This suits short calls of similar cost: a slow
// instance holds its calls longer and so receives fewer new ones. Leaving
// instances receive none.
func (l *ServiceList) Choose(name galenastair.ServiceName, exclude []galenastair.BackendServerID) (ServiceGrant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := -1
	for i, s := range l.instances {
		if s.Leaving || s.Service != name || slices.Contains(exclude, galenastair.BackendServerID(s.ID)) {
			continue
		}
		if best < 0 || l.preferred(s, l.instances[best]) {
			best = i
		}
	}
	if best < 0 {
		return ServiceGrant{}, galenastair.NewRefusal(galenastair.ErrNoBackendServer, serviceRetryAfter, string(name))
	}
	return l.grant(l.instances[best]), nil
}

func (l *ServiceList) preferred(a, b galenastair.ListedInstance) bool {
	busyA := l.inFlight[galenastair.BackendServerID(a.ID)]
	busyB := l.inFlight[galenastair.BackendServerID(b.ID)]
	if busyA != busyB {
		return busyA < busyB
	}
	return a.AvailabilityZone == l.zone && b.AvailabilityZone != l.zone
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
