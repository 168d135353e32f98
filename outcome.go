package galenastair

// Outcome tells a caller whether its request had an effect.
type Outcome string

// The outcomes that an error can carry.
const (
	// NotRun says that no backend server received any of the request, or that it said so itself.
	NotRun Outcome = "NotRun"
	// Ran says that a backend server ran the request, though the answer was cut or refused.
	Ran Outcome = "Ran"
	// Unknown says that the request may or may not have run.
	Unknown Outcome = "Unknown"
)
