package node

import (
	"encoding/json"
	"net/http"
	"time"

	"galenastair"
	"galenastair/pool"
)

// StatusPath is where an instance tells on its metrics port what it knows and holds.
const StatusPath = "/status"

// Status is what an instance knows at one moment.
type Status struct {
	Instance         galenastair.InstanceID
	AvailabilityZone galenastair.AvailabilityZone
	Ready            bool
	// NotReady says why new connections are not welcome.
	NotReady string
	// Version is that of the configuration in force, 0 for none, and Age how long ago
	// the store confirmed it.
	Version int64
	Age     time.Duration
	// Planner is the peer address of the instance that plans and lends, as known here;
	// Plans says that it is this one.
	Planner string
	Plans   bool
	// Fleet is the number of instances that the quotas are dealt to; Alone says that no
	// lender answers.
	Fleet          int
	Alone          bool
	BackendServers []pool.State
}

// Status returns what the instance knows now.
func (n *Node) Status() Status {
	s := Status{
		Instance:         n.settings.ID,
		AvailabilityZone: n.settings.AvailabilityZone,
		Ready:            true,
		Planner:          n.elector.Leader(),
		Plans:            n.lease.Holds(),
		Fleet:            n.share.Fleet(),
		Alone:            n.share.Alone(),
		BackendServers:   n.pool.States(time.Now()),
	}
	if err := n.ready(); err != nil {
		s.Ready, s.NotReady = false, err.Error()
	}
	if view, age := n.views.View(); view != nil {
		s.Version, s.Age = view.Version, age
	}
	return s
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.Status()); err != nil {
		n.logger.Log("event", "status", "err", err)
	}
}
