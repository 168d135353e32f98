package claim

import (
	"crypto/sha256"
	"encoding/hex"

	"galenastair"
)

// Digest stands for the content of one organisation's request.
type Digest string

// digestLength in bytes keeps chance collisions out of reach (2^64 requests) in
// half the memory of the whole SHA-256 sum.
const digestLength = 16

// DigestOf returns the digest of a request; target is its method and path, or its model.
func DigestOf(o galenastair.Organisation, target string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(o), []byte(target), body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return Digest(hex.EncodeToString(h.Sum(nil)[:digestLength]))
}
