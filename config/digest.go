package config

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Digest is the sum of the hashes of all entries of a state machine. It does not depend
// on the order of the entries, and a change hashes only the entries that it touches.
type Digest uint64

func (d *Digest) add(entry []byte) { *d += Digest(xxhash.Sum64(entry)) }

func (d *Digest) remove(entry []byte) { *d -= Digest(xxhash.Sum64(entry)) }

// MarshalText encodes the digest in hex, since many JSON decoders round 64-bit numbers.
func (d Digest) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(d)), nil }

// UnmarshalText decodes the output of MarshalText.
func (d *Digest) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return eris.Wrap(err, "parse digest")
	}
	*d = Digest(n)
	return nil
}
