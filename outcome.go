package galenastair

// Outcome tells a caller whether its request has run.
type Outcome string

// Outcomes that an error can have.
const (
	// OutcomeNotRun means that the request cannot have run: no backend server received any of it,
	// or the backend server stated that it did not run it.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeRan means that a backend server ran the request, although the response was
	// truncated or refused.
	OutcomeRan Outcome = "Ran"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "Unknown"
)
