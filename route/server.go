package route

import (
	"math"
	"time"

	"galenastair"
)

// Server is a backend server as the router is told of it.
type Server struct {
	ID               galenastair.BackendServerID
	Address          string
	AvailabilityZone galenastair.AvailabilityZone
	Leaving          bool
}

// reportMemory is how fast a report loses weight against own in-flight requests.
// Reports lag by a second or two and a request takes some seconds, so after this
// time most of what the report counted has changed.
const reportMemory = 4 * time.Second

// server is what the router keeps of one backend server.
type server struct {
	Server
	window   window
	health   health
	inFlight int
	// others is the load that the last report showed beyond our own requests.
	others   float64
	reported time.Time
	loaded   []galenastair.ModelName
	// leaves is when the list first showed that it leaves.
	leaves time.Time
}

// leavingGrace is how long a leaving backend server still gets new work for a model
// that has no other copy: the leader needs some seconds to load one elsewhere, and
// the requests that wait for it (dispatch.copyGrace) cover the rest. It stays below
// the three seconds after which a leaving backend server may get nothing new.
const leavingGrace = 2 * time.Second

// mayServeLast says whether a leaving backend server may still get work for its only copies.
func (s *server) mayServeLast(now time.Time) bool {
	return s.Leaving && now.Sub(s.leaves) < leavingGrace
}

// load estimates the requests that a new one would share the backend server with.
func (s *server) load(now time.Time) float64 {
	age := now.Sub(s.reported)
	return float64(s.inFlight) + s.others*math.Exp(-float64(age)/float64(reportMemory))
}

// room says whether one more request may go there; entitled ones may go beyond the window.
func (s *server) room(entitled bool) bool {
	if entitled {
		return s.inFlight < s.window.size()+s.window.kept()
	}
	return s.inFlight < s.window.size()
}
