package node

import (
	"encoding/json"
	"net/http"
	"time"

	"galenastair"
	"galenastair/membudget"
	"galenastair/pool"
)

// StatusPath is the path on the metrics port at which an instance serves its Status as JSON.
const StatusPath = "/status"

// Status is a snapshot of the state of an instance.
type Status struct {
	Instance         galenastair.InstanceID
	AvailabilityZone galenastair.AvailabilityZone
	Ready            bool
	// NotReady is the reason why the instance accepts no new connections; empty if it is ready.
	NotReady string
	// Version is the version of the current configuration, 0 if there is none, and Age the time
	// since the store confirmed it.
	Version int64
	Age     time.Duration
	// Leader is the peer address of the last known leader, which plans placement and lends
	// quota; IsLeader reports whether it is this instance.
	Leader   string `json:"Planner"`
	IsLeader bool   `json:"Plans"`
	// FleetSize is the number of instances among which the quotas are divided; InFallback
	// reports whether no lender answers, so that the instance spends only its own fraction.
	FleetSize      int  `json:"Fleet"`
	InFallback     bool `json:"Alone"`
	BackendServers []pool.State
	// EvacuatedZones are the availability zones whose backend servers get no new requests.
	EvacuatedZones []galenastair.AvailabilityZone
	// Yielding is the number of requests that wait for more urgent ones.
	Yielding int
	// HeldMemory is what is held for requests; nil without a bound.
	HeldMemory *membudget.State `json:",omitempty"`
}

// Status returns the current state of the instance.
func (n *Node) Status() Status {
	s := Status{
		Instance:         n.settings.ID,
		AvailabilityZone: n.settings.AvailabilityZone,
		Ready:            true,
		Leader:           n.elector.Leader(),
		IsLeader:         n.lease.Holds(),
		FleetSize:        n.borrower.FleetSize(),
		InFallback:       n.borrower.InFallback(),
		BackendServers:   n.pool.States(time.Now()),
		EvacuatedZones:   n.catalogSource.evacuations.zones(),
		Yielding:         n.yielding(),
	}
	if n.budget != nil {
		held := n.budget.State()
		s.HeldMemory = &held
	}
	if err := n.ready(); err != nil {
		s.Ready, s.NotReady = false, err.Error()
	}
	if current, age := n.catalogSource.Current(); current != nil {
		s.Version, s.Age = current.Version, age
	}
	return s
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.Status()); err != nil {
		n.logger.Log("event", "status", "err", err)
	}
}
