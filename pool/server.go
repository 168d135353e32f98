package pool

import (
	"hash/fnv"
	"time"

	"galenastair"
)

// ServerKey is a short hash of a backend server's ID for messages. With hundreds of servers, two
// of them share a key with a probability of some millionths, and their loads are then added.
type ServerKey uint32

// KeyOf returns the key of an ID.
func KeyOf(id galenastair.BackendServerID) ServerKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return ServerKey(h.Sum32())
}

// Server is the registration of a backend server.
type Server struct {
	ID               galenastair.BackendServerID
	Service          galenastair.ServiceName
	Address          string
	AvailabilityZone galenastair.AvailabilityZone
	Version          galenastair.SoftwareVersion
	// Slots is the number of requests that it runs concurrently.
	Slots   int
	Leaving bool
	// LeavingSince is a time not later than the start of leaving, or zero if unknown.
	LeavingSince time.Time
	// GoneAt is the earliest time at which a leaving server ends, whatever it runs. It is zero if the
	// server has not announced one.
	GoneAt time.Time
	// Incarnation distinguishes restarts, since an ID can be reused.
	Incarnation int64
	// Heartbeat counts the registrations since its start.
	Heartbeat int64
	// ColdUntil is when the server stops being cold after its start, zero if it is warm.
	ColdUntil time.Time
	Models    []galenastair.LoadedModel
	// CachedModels are the models of which the server keeps a local copy in memory or on disk.
	CachedModels []galenastair.ModelName
	// InMemoryModels are those of them that it keeps in memory.
	InMemoryModels []galenastair.ModelName
}
