package route

import (
	"math"
	"time"

	"galenastair"
)

// Server is a backend server as listed by the platform.
type Server struct {
	ID               galenastair.BackendServerID
	Address          string
	AvailabilityZone galenastair.AvailabilityZone
	Leaving          bool
}

// reportDecay is the time constant by which the weight of a report decays against own
// in-flight requests. Reports lag by one or two seconds and a request takes a few seconds, so
// after this time most of the reported requests have ended.
const reportDecay = 4 * time.Second

// server is the router's state of one backend server.
type server struct {
	Server
	window   window
	health   health
	inFlight int
	// otherLoad is the load in the last report beyond this instance's own requests.
	otherLoad  float64
	reportedAt time.Time
	loaded     []galenastair.ModelName
	// leavingSince is when the server was first listed as leaving.
	leavingSince time.Time
}

// leavingGrace is how long a leaving backend server still gets new requests for a model that
// has no other copy. The leader needs a few seconds to load one on another engine; after
// leavingGrace, requests wait for it (see noCopyTimeout in package dispatch). It is shorter
// than the three seconds after which a leaving backend server may get no new request.
const leavingGrace = 2 * time.Second

// inLeavingGrace reports whether a leaving backend server may still get requests for models
// that have no other copy.
func (s *server) inLeavingGrace(now time.Time) bool {
	return s.Leaving && now.Sub(s.leavingSince) < leavingGrace
}

// load estimates the number of requests that the backend server runs.
func (s *server) load(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	return float64(s.inFlight) + s.otherLoad*math.Exp(-float64(age)/float64(reportDecay))
}

// hasCapacity reports whether one more request may be sent there. Requests of an
// organisation within its share may use the reserved slots beyond the window.
func (s *server) hasCapacity(withinShare bool) bool {
	if withinShare {
		return s.inFlight < s.window.size()+s.window.reserved()
	}
	return s.inFlight < s.window.size()
}
