package place

import "time"

// Settings are what operators say of the platform, and how eagerly to move.
type Settings struct {
	// LoadsPerSecond is the model loads that the weight store starts in a second.
	LoadsPerSecond float64
	// LoadsInFlight is the model loads that it serves at full speed together.
	LoadsInFlight int
	// AdaptersInFlight is the adapter loads that it serves at full speed together.
	AdaptersInFlight int
	// ServerWork is the work per second that one backend server can do.
	ServerWork float64
	// Busy is the part of ServerWork below which no copy is moved for load.
	Busy float64
	// Uneven is how many times the load of a backend server on the whole the busiest
	// must have for a copy to be moved for it; 0 is always.
	Uneven float64
	// Gain is the part of the busiest backend server's load that a move must take off it.
	Gain float64
	// Calm is the least time between two moves for one model.
	Calm time.Duration
	// Stay is how long an added copy stays unless another is unreachable.
	Stay time.Duration
	// ReliefsARound is how many copies one round may make for load; 0 is one. More are
	// for backend servers that have models at hand, which no pace holds back.
	ReliefsARound int
	// AskedWork is the work per second from which a model counts as asked for; below it
	// its callers are too few to go before those who wait for a busy one.
	AskedWork float64
	// DropUnasked is the part of ServerWork from which a backend server is so busy that
	// the only copy of a model that nobody asks for makes way for it, if memory is scarce
	// and some backend server has the model at hand: it is back within a load that takes
	// nothing from the weight store. Without it a fleet that has lost a
	// third of its memory holds one copy of each model, and the callers of the busiest
	// all wait at one backend server.
	// 0 is never.
	DropUnasked float64
	// Spares lets memory that is left over be filled with second copies.
	Spares bool
}

// DefaultSettings are those of today's smaller site; the reasons stand beside them.
func DefaultSettings() Settings {
	return Settings{
		LoadsPerSecond:   1,
		LoadsInFlight:    2,
		AdaptersInFlight: 15,
		ServerWork:       1500,
		// below this callers wait for nobody, so a move would only cost
		Busy: 0.5,
		// a move delays others in the weight store and cools caches; a smaller gain
		// is within the noise of the forecast
		Gain: 0.15,
		// the forecast needs half a minute to see what a move has done
		Calm: 20 * time.Second,
		// demand that swings within two minutes would else move the same copies to
		// and fro
		Stay: 2 * time.Minute,
		// a second copy keeps a model reachable while a backend server leaves or dies
		Spares: true,
	}
}
