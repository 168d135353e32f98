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
