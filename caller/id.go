package caller

import (
	"crypto/rand"
	"strings"

	"galenastair"
)

const (
	// idMark stands between the id that a caller is shown and what makes it unique.
	idMark = "~"
	// uniqueLength is 65 bits of a random text, more than all requests of a year need.
	uniqueLength = 13
)

// carriedID returns the id under which the system carries a request.
//
// Failure: two requests have the same X-Request-Id, since two organisations both
// count from 1, or since a client repeats its header with each try. An engine
// knows streams by their id, so the one that is resumed goes on with the other's
// answer, and the one that is cancelled ends it. The guard: no two requests are
// carried under one id, whatever their callers named them.
func carriedID(shown galenastair.RequestID) galenastair.RequestID {
	return shown + idMark + galenastair.RequestID(rand.Text()[:uniqueLength])
}

// ShownID returns the id that the caller of a carried request was shown.
func ShownID(carried galenastair.RequestID) galenastair.RequestID {
	if i := strings.LastIndex(string(carried), idMark); i >= 0 {
		return carried[:i]
	}
	return carried
}
