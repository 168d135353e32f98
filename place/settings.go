package place

import "time"

// Settings holds the capacity of the platform and the thresholds for moving copies.
type Settings struct {
	// LoadsPerSecond is the number of model loads that the weight store can start per second.
	LoadsPerSecond float64
	// LoadsInFlight is the number of concurrent model loads that it serves at full speed.
	LoadsInFlight int
	// AdaptersInFlight is the number of concurrent adapter loads that it serves at full speed.
	AdaptersInFlight int
	// ServerCapacity is the work per second that one backend server can do.
	ServerCapacity float64
	// RebalanceThreshold is the fraction of ServerCapacity below which no copy is moved for
	// load.
	RebalanceThreshold float64
	// ImbalanceThreshold is the ratio to the mean load below which no copy is moved off the
	// busiest backend server; 0 means no minimum.
	ImbalanceThreshold float64
	// MinGain is the fraction of the busiest backend server's load that a move must take off.
	MinGain float64
	// MoveCooldown is the minimum time between two moves of one model.
	MoveCooldown time.Duration
	// MinCopyLifetime is how long an added copy is kept unless another model is unreachable.
	MinCopyLifetime time.Duration
	// MovesPerRound is the number of copies that a round may add for load; 0 means 1. Values
	// above 1 are for backend servers that cache models, whose loads are not rate-limited.
	MovesPerRound int
	// MinDemand is the work per second from which a model counts as in demand. Models below
	// it have too few callers to be placed before busy models are relieved.
	MinDemand float64
	// IdleEvictionThreshold is the fraction of ServerCapacity from which a backend server is
	// so busy that the only copy of a model without demand may be evicted for it, if memory
	// is scarce and a backend server has that model cached, so that loading it again needs
	// nothing from the weight store. Without this, a fleet that has lost a third of its
	// memory holds one copy of each model, and all callers of the busiest model wait at one
	// backend server. 0 disables it.
	IdleEvictionThreshold float64
	// SpareCopies enables second copies in free memory.
	SpareCopies bool
}

// DefaultSettings returns the settings for a small site.
func DefaultSettings() Settings {
	return Settings{
		LoadsPerSecond:   1,
		LoadsInFlight:    2,
		AdaptersInFlight: 15,
		ServerCapacity:   1500,
		// Callers do not queue below this load, so a move would gain nothing.
		RebalanceThreshold: 0.5,
		// A move delays other loads from the weight store and starts with a cold cache.
		// Smaller gains are within the noise of the forecast.
		MinGain: 0.15,
		// The forecast takes about half a minute to show the effect of a move.
		MoveCooldown: 20 * time.Second,
		// Demand that swings within two minutes would otherwise move the same copies
		// back and forth.
		MinCopyLifetime: 2 * time.Minute,
		// A second copy keeps a model reachable while a backend server leaves or fails.
		SpareCopies: true,
	}
}
