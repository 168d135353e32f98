package pool

import (
	"cmp"
	"slices"
	"time"

	"galenastair"
)

// State is how one backend server stands at this instance.
type State struct {
	ID               galenastair.BackendServerID
	Service          galenastair.ServiceName
	Address          string
	AvailabilityZone galenastair.AvailabilityZone
	// Out says why nothing is sent there: "" if it is in use.
	Out Out
	// Flights is how many requests of this instance run there.
	Flights int
	// FailureShare is the smoothed share of failures, 0 to 1.
	FailureShare float64
	// Limit is the requests a second that it takes from all instances together; 0 if it names
	// none.
	Limit float64
	Holds []galenastair.ModelName
}

// Out is why a backend server gets no requests.
type Out string

// The reasons.
const (
	OutLeaving Out = "leaving"
	OutFailed  Out = "failed"
	OutTried   Out = "tried by one request"
)

// States returns all backend servers in the order of their services and names.
func (p *Pool) States(now time.Time) []State {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []State
	for _, m := range p.members {
		s := State{
			ID: m.ID, Service: m.Service, Address: m.Address, AvailabilityZone: m.AvailabilityZone,
			Out: m.outReason(now), Flights: m.flights, FailureShare: m.health.share, Limit: m.limit.perSecond,
		}
		for name := range m.holds {
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

func (m *member) outReason(now time.Time) Out {
	switch {
	case m.Leaving || !m.leaves.IsZero():
		return OutLeaving
	case now.Before(m.health.out):
		return OutFailed
	case m.health.probing:
		return OutTried
	}
	return ""
}
