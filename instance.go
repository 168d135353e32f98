package galenastair

import "context"

// Role is the role of an instance in the InstanceList.
type Role string

// Roles in the platform's instance list.
const (
	RoleEntry   Role = "Entry"
	RoleEngine  Role = "Engine"
	RoleService Role = "Service"
)

// ListedInstance is an entry of the InstanceList.
type ListedInstance struct {
	ID               string
	Role             Role
	Address          string
	AvailabilityZone AvailabilityZone
	// Service is the name of the plain service that the instance runs, if any.
	Service ServiceName
	Leaving bool
}

// InstanceList is the platform's list of the instances that are live or leaving. It is
// eventually consistent: changes appear with a delay.
type InstanceList interface {
	List(ctx context.Context) ([]ListedInstance, error)
}

// ModelWeights describe the weights that an engine must load to serve a model or adapter.
type ModelWeights struct {
	Name    ModelName
	Version string
	// Base is the base model of an adapter; empty for a model.
	Base   ModelName
	Memory Bytes
}

// WeightStore is the platform's store of model weights. Engines load weights from it directly,
// and the store limits the rate of these loads.
type WeightStore interface {
	Catalogue(ctx context.Context) ([]ModelWeights, error)
}
