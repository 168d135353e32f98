package place

import (
	"time"

	"galenastair"
)

// CopyState is the lifecycle state of a copy of a model or adapter.
type CopyState int

// States of a copy.
const (
	// Loading is a copy that is ordered or being loaded.
	Loading CopyState = iota
	// Ready is a copy that can answer requests.
	Ready
	// Unloading is a copy that is ordered to unload or being unloaded; it still takes memory.
	Unloading
)

// Copy is a copy of a model or adapter on a backend server.
type Copy struct {
	Weight galenastair.ModelWeights
	State  CopyState
}

// Server is the planner's view of a backend server.
type Server struct {
	ID               galenastair.BackendServerID
	AvailabilityZone galenastair.AvailabilityZone
	Leaving          bool
	// Ending is set if the backend server leaves and has announced when it ends.
	Ending bool
	// Unhealthy is set when routers avoid the backend server because it does not answer in time.
	Unhealthy bool
	// RateLimited is set while the backend server accepts few requests, so that routers choose
	// it last. Its copies keep models reachable and do little work.
	RateLimited bool
	// SpeedFactor is the time that the backend server takes for work, relative to the fleet: 2 is
	// half as fast; 0 counts as 1.
	SpeedFactor float64
	// Unschedulable is set when no order can be sent now; loaded copies keep answering.
	Unschedulable bool
	// SchedulableSoon is set when the backend server is unschedulable, but probably for less
	// time than it takes to free memory elsewhere.
	SchedulableSoon bool
	// FreeMemory is the memory that is neither taken nor reserved for an order.
	FreeMemory galenastair.Bytes
	Copies     []Copy
	// CachedModels are the models whose weights the backend server holds locally. Loading one
	// takes less time and no bandwidth of the weight store.
	CachedModels map[galenastair.ModelName]bool
	// Reserved lists the weights whose memory is reserved for orders that were probably
	// lost. Another order for the same weight needs no more memory.
	Reserved []galenastair.ModelWeights
}

// Input is everything that a planning round depends on.
type Input struct {
	Now       time.Time
	Servers   []Server
	Catalogue []galenastair.ModelWeights
	// Work returns the forecast work per second for a model or adapter, excluding the
	// adapters of a model.
	Work func(galenastair.ModelName) float64
}

// Reason is why a copy is loaded or unloaded, as shown in logs and metrics.
type Reason string

// Reasons for a step.
const (
	// Unreachable loads a model or adapter that has no active copy.
	Unreachable Reason = "Unreachable"
	// Adapter loads an adapter beside a copy of its base that lacks it.
	Adapter Reason = "Adapter"
	// Relief loads a copy that takes load off the busiest backend server.
	Relief Reason = "Relief"
	// Spare loads a second copy into memory that is left over.
	Spare Reason = "Spare"
	// MakeRoom unloads a copy to free memory for a model that is needed more.
	MakeRoom Reason = "MakeRoom"
	// OldVersion unloads a version that the catalogue no longer lists.
	OldVersion Reason = "OldVersion"
)

// Step is a load or unload to carry out now.
type Step struct {
	Kind   galenastair.OrderKind
	Server galenastair.BackendServerID
	Weight galenastair.ModelWeights
	Reason Reason
}
