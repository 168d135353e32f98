package pool

import (
	"hash/fnv"
	"time"

	"galenastair"
)

// ServerKey is a short form of a backend server's id for messages. Two servers share one by
// a chance of some millionths at hundreds of servers, and then their loads are added up.
type ServerKey uint32

// KeyOf returns the short form of an id.
func KeyOf(id galenastair.BackendServerID) ServerKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return ServerKey(h.Sum32())
}

// Server is a backend server as it registered.
type Server struct {
	ID               galenastair.BackendServerID
	Service          galenastair.ServiceName
	Address          string
	AvailabilityZone galenastair.AvailabilityZone
	// Slots is how many requests it runs at the same time.
	Slots   int
	Leaving bool
	// LeavingSince is not later than when it began to leave; zero if that is not known.
	LeavingSince time.Time
	// Born tells one start of it from the next, since an id may come back.
	Born int64
	// Beat counts what it has registered since its start.
	Beat   int64
	Models []galenastair.EngineModel
	// AtHand names the models of which it keeps a copy of its own.
	AtHand []galenastair.ModelName
}
