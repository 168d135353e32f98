package operator

import (
	"time"

	"galenastair"
)

// Status is the state of an instance, and of the system as it knows it. It is the
// response to /status; the names of the fields are those of the JSON object.
type Status struct {
	Instance         galenastair.InstanceID
	Region           galenastair.Region
	AvailabilityZone galenastair.AvailabilityZone
	Ready            bool
	// NotReady is the reason why the instance does not accept requests; empty if it does.
	NotReady string
	// ConfigurationOffset is the offset of the next configuration record to read.
	ConfigurationOffset galenastair.Offset
	// LogContact is the time since the last response of the log.
	LogContact time.Duration
	Epoch      galenastair.Epoch
	HoldsLease bool
	Leader     galenastair.InstanceID
	Fence      galenastair.Fence
	Members    []MemberStatus
	// Requests is the number of requests in flight.
	Requests       int
	BackendServers []BackendServerStatus
}

// MemberStatus describes a member of the region.
type MemberStatus struct {
	Instance         galenastair.InstanceID
	AvailabilityZone galenastair.AvailabilityZone
	PeerAddress      string
}

// BackendServerStatus describes a backend server of the instance list and its last
// report.
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
