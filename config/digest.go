package config

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Digest is a sum over the hashes of everything in a fold, so that a change
// costs one hash and not one of the whole fold, whatever the order of changes.
type Digest uint64

func (d *Digest) add(entry []byte) { *d += Digest(xxhash.Sum64(entry)) }

func (d *Digest) remove(entry []byte) { *d -= Digest(xxhash.Sum64(entry)) }

// MarshalText writes the digest in hex, which JSON numbers would round.
func (d Digest) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(d)), nil }

// UnmarshalText reads what MarshalText wrote.
func (d *Digest) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return eris.Wrap(err, "digest")
	}
	*d = Digest(n)
	return nil
}
