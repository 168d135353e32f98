package place

import (
	"time"

	"galenastair"
)

// CopyState says how far a copy of a model or adapter is.
type CopyState int

// The states of a copy.
const (
	// Coming is ordered or loading.
	Coming CopyState = iota
	// Ready may answer requests.
	Ready
	// Going is ordered to unload, or unloading; it still takes memory.
	Going
)

// Copy is one model or adapter on a backend server.
type Copy struct {
	Weight galenastair.Weight
	State  CopyState
}

// Server is one backend server as the planner sees it.
type Server struct {
	ID               galenastair.BackendServerID
	AvailabilityZone galenastair.AvailabilityZone
	Leaving          bool
	// Slow says that the routers keep it out: its copies answer nobody in time.
	Slow bool
	// Limited says that it takes few requests for now, so that routers choose it last: its
	// copies keep models reachable and carry little work.
	Limited bool
	// Closed says that it can be given no order now; its copies go on answering.
	Closed bool
	// Opening says that it is closed, but probably not for longer than room takes to be made
	// elsewhere.
	Opening bool
	// Free is the memory that no order can take any more.
	Free   galenastair.Bytes
	Copies []Copy
	// AtHand names the models of which it keeps a copy of its own: loading one takes
	// nothing from the weight store, and less time.
	AtHand map[galenastair.ModelName]bool
	// Reserved names the weights whose memory is kept for orders that were probably
	// lost; another order for the same weight needs no more memory.
	Reserved []galenastair.Weight
}

// Input is all that a round of the planner looks at.
type Input struct {
	Now       time.Time
	Servers   []Server
	Catalogue []galenastair.Weight
	// Work returns the work per second foretold for a model or adapter itself.
	Work func(galenastair.ModelName) float64
}

// Reason says in a log line why a copy is loaded or unloaded.
type Reason string

// The reasons for a step.
const (
	// Unreachable says that no copy that will stay is ready or coming.
	Unreachable Reason = "Unreachable"
	// Adapter says that a copy of the base lacks its adapter.
	Adapter Reason = "Adapter"
	// Relief says that a copy takes load off the busiest backend server.
	Relief Reason = "Relief"
	// Spare says that memory was left for a second copy.
	Spare Reason = "Spare"
	// MakeRoom says that a copy goes, one of several, for one needed more.
	MakeRoom Reason = "MakeRoom"
	// OldVersion says that the catalogue names another version.
	OldVersion Reason = "OldVersion"
)

// Step is one load or unload that the planner wants now.
type Step struct {
	Kind   galenastair.OrderKind
	Server galenastair.BackendServerID
	Weight galenastair.Weight
	Reason Reason
}
