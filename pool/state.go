package pool

import (
	"cmp"
	"slices"
	"time"

	"galenastair"
)

// State is the state of one backend server as this instance sees it.
type State struct {
	ID               galenastair.BackendServerID
	Service          galenastair.ServiceName
	Address          string
	AvailabilityZone galenastair.AvailabilityZone
	// Unavailable is the reason why requests are not sent there; empty if they are.
	Unavailable UnavailableReason `json:"Out"`
	// InFlight is the number of this instance's requests in flight.
	InFlight int `json:"Flights"`
	// FailureRate is the smoothed failure rate, from 0 to 1.
	FailureRate float64 `json:"FailureShare"`
	// Limit is the rate limit in requests per second over all instances; 0 for none.
	Limit float64
	// SpeedFactor is the time that the server takes, relative to the other servers of its service.
	SpeedFactor float64
	Holds       []galenastair.ModelName
}

// UnavailableReason is the reason why a backend server gets no requests.
type UnavailableReason string

// Reasons for sending no requests to a server.
const (
	UnavailableLeaving   UnavailableReason = "leaving"
	UnavailableEvacuated UnavailableReason = "evacuated"
	UnavailableEjected   UnavailableReason = "failed"
	UnavailableProbing   UnavailableReason = "tried by one request"
	UnavailableBackoff   UnavailableReason = "wants no requests"
)

// States returns the state of all backend servers, sorted by service and ID.
func (p *Pool) States(now time.Time) []State {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []State
	for _, srv := range p.backends {
		s := State{
			ID: srv.ID, Service: srv.Service, Address: srv.Address, AvailabilityZone: srv.AvailabilityZone,
			Unavailable: p.unavailableReason(now, srv), InFlight: srv.inFlight, FailureRate: srv.health.failureRate, Limit: srv.limit.perSecond,
			SpeedFactor: float64(srv.factor),
		}
		for name := range srv.holds {
			s.Holds = append(s.Holds, name)
		}
		slices.Sort(s.Holds)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func (p *Pool) unavailableReason(now time.Time, b *backend) UnavailableReason {
	_, evacuated := p.evacuated[b.AvailabilityZone]
	switch {
	case b.Leaving || b.leaveAnnounced:
		return UnavailableLeaving
	case evacuated:
		return UnavailableEvacuated
	case now.Before(b.backoffUntil):
		return UnavailableBackoff
	case now.Before(b.health.ejectedUntil):
		return UnavailableEjected
	case b.health.probing:
		return UnavailableProbing
	}
	return ""
}
