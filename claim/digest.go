package claim

import (
	"crypto/sha256"
	"encoding/hex"

	"galenastair"
)

// Digest is a hash of the content of an organisation's request.
type Digest string

// digestLength is in bytes. At 16 bytes a chance collision is expected only after about
// 2^64 requests, and a digest takes half the memory of the full SHA-256 sum.
const digestLength = 16

// DigestOf returns the digest of a request. The target is its method and path, or its model.
func DigestOf(o galenastair.Organisation, target string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(o), []byte(target), body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return Digest(hex.EncodeToString(h.Sum(nil)[:digestLength]))
}
