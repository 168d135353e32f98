package route

// Reason is the reason for a choice, as written to the log.
type Reason string

// The reasons for a choice.
const (
	// OnlyCopy means that only one backend server could accept the request.
	OnlyCopy Reason = "OnlyCopy"
	// PrefixAffinity means that the prompt's prefix is probably cached there.
	PrefixAffinity Reason = "PrefixAffinity"
	// BetterOfTwo means that it was the less loaded of two random candidates.
	BetterOfTwo Reason = "BetterOfTwo"
	// SlotFreed means that the request waited until this backend server had capacity.
	SlotFreed Reason = "SlotFreed"
	// Probe means that an ejected backend server is tried again.
	Probe Reason = "Probe"
	// NoneHealthy means that every copy is on an ejected backend server.
	NoneHealthy Reason = "NoneHealthy"
	// LastCopy means that the only copy is on a backend server that has just begun to leave.
	LastCopy Reason = "LastCopy"
)
