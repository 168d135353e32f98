package route

// Reason says in a log line why a backend server was chosen.
type Reason string

// The reasons for a choice.
const (
	// OnlyCopy says that a single backend server could take the request.
	OnlyCopy Reason = "OnlyCopy"
	// PrefixAffinity says that the prompt's prefix is probably cached there.
	PrefixAffinity Reason = "PrefixAffinity"
	// BetterOfTwo says that it was the less loaded of two.
	BetterOfTwo Reason = "BetterOfTwo"
	// SlotFreed says that the request waited until this backend server had room.
	SlotFreed Reason = "SlotFreed"
	// Probe says that a backend server taken out earlier is tried again.
	Probe Reason = "Probe"
	// NoneHealthy says that every copy is on a backend server that was taken out.
	NoneHealthy Reason = "NoneHealthy"
	// LastCopy says that only a backend server that has just begun to leave has a copy.
	LastCopy Reason = "LastCopy"
)
