package caller

import (
	"crypto/rand"
	"strings"

	"galenastair"
)

const (
	// idSeparator separates the external request ID from the random suffix.
	idSeparator = "~"
	// idSuffixLength is the number of base32 characters of the suffix: 65 random bits,
	// enough to tell apart all requests of a year.
	idSuffixLength = 13
)

// newInternalID returns a unique internal ID for a request.
//
// Callers choose X-Request-Id, so it is not unique: two organisations may both count
// from 1, and a caller may repeat the header when it retries. Engines identify
// streams by request ID, so with equal IDs a resumed stream would continue with the
// other request's response, and cancelling one request would end the other.
func newInternalID(external galenastair.RequestID) galenastair.RequestID {
	return external + idSeparator + galenastair.RequestID(rand.Text()[:idSuffixLength])
}

// ExternalID returns the X-Request-Id that the caller of a request was given.
func ExternalID(internal galenastair.RequestID) galenastair.RequestID {
	if i := strings.LastIndex(string(internal), idSeparator); i >= 0 {
		return internal[:i]
	}
	return internal
}
