package config

import (
	"encoding/binary"
	"encoding/hex"

	"galenastair"
	"galenastair/contract"
)

// Key is the state of a key in a view.
type Key struct {
	Organisation galenastair.Organisation
	// Withdrawn keys have neither Organisation nor Contract.
	Withdrawn bool
	Contract  *contract.Contract
}

// keyID is the first half of a key hash. Withdrawn keys are stored permanently: 900 a day
// for two years are 650,000 entries, which take 13 MB at 16 bytes each. Collisions of
// 128 bits remain negligible.
type keyID [16]byte

func parseKeyID(h galenastair.KeyHash) (keyID, bool) {
	var id keyID
	if len(h) != 64 {
		return id, false
	}
	var text [32]byte
	copy(text[:], h)
	_, err := hex.Decode(id[:], text[:])
	return id, err == nil
}

func (id keyID) String() string { return hex.EncodeToString(id[:]) }

// hashKeyID uses the ID's bits directly, since they are already uniformly distributed
// as part of a SHA-256 digest.
func hashKeyID(id keyID) uint64 { return binary.LittleEndian.Uint64(id[:8]) }
