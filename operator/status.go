package operator

import (
	"time"

	"galenastair"
)

// Status is what an instance knows of the system, as /status shows it.
type Status struct {
	Instance         galenastair.InstanceID
	Region           galenastair.Region
	AvailabilityZone galenastair.AvailabilityZone
	Ready            bool
	// NotReady says why an instance takes no requests.
	NotReady string
	// ConfigurationOffset is the next record of the configuration that the instance waits for.
	ConfigurationOffset galenastair.Offset
	// LogContact is how long ago the log last answered.
	LogContact time.Duration
	Epoch      galenastair.Epoch
	HoldsLease bool
	Leader     galenastair.InstanceID
	Fence      galenastair.Fence
	Members    []MemberStatus
	// Requests counts those under way.
	Requests       int
	BackendServers []BackendServerStatus
}

// MemberStatus is one member of the region.
type MemberStatus struct {
	Instance         galenastair.InstanceID
	AvailabilityZone galenastair.AvailabilityZone
	PeerAddress      string
}

// BackendServerStatus is one listed backend server and what it has loaded.
type BackendServerStatus struct {
	BackendServer    galenastair.BackendServerID
	Role             galenastair.Role
	Address          string
	AvailabilityZone galenastair.AvailabilityZone
	Leaving          bool
	Service          galenastair.ServiceName
	MemoryTotal      galenastair.Bytes
	MemoryUsed       galenastair.Bytes
	Running          int
	Waiting          int
	Ready            []galenastair.ModelName
	Loading          []galenastair.ModelName
	ReportAge        time.Duration
}
