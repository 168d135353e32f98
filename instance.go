package galenastair

import "context"

// Role says what a listed instance does.
type Role string

// The roles that the platform's list knows.
const (
	RoleEntry   Role = "Entry"
	RoleEngine  Role = "Engine"
	RoleService Role = "Service"
)

// ListedInstance is one line of the platform's lagging list.
type ListedInstance struct {
	ID               string
	Role             Role
	Address          string
	AvailabilityZone AvailabilityZone
	// Service is the name of the plain service that it runs, if any.
	Service ServiceName
	Leaving bool
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	List(ctx context.Context) ([]ListedInstance, error)
}

// Weight describes what an engine must load before it can answer for a model or adapter.
type Weight struct {
	Name    ModelName
	Version string
	// Base is the model that an adapter belongs to; empty for a model.
	Base   ModelName
	Memory Bytes
}

// WeightStore is the platform's rate-limited store of model weights; engines load from it themselves.
type WeightStore interface {
	Catalogue(ctx context.Context) ([]Weight, error)
}
