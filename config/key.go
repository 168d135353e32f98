package config

import (
	"encoding/binary"
	"encoding/hex"

	"galenastair"
	"galenastair/contract"
)

// Key is what a view knows about a key.
type Key struct {
	Organisation galenastair.Organisation
	// Withdrawn keys have no organisation and no contract any more.
	Withdrawn bool
	Contract  *contract.Contract
}

// keyID is the first half of a key hash. Withdrawn keys are kept for good, so
// their size counts: 900 withdrawals a day for two years are 650,000 entries,
// 13 MB at 16 bytes; 128 bits still leave no collision to be feared.
type keyID [16]byte

func toKeyID(h galenastair.KeyHash) (keyID, bool) {
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

// hashKeyID takes bits as they are: the id is part of a digest already.
func hashKeyID(id keyID) uint64 { return binary.LittleEndian.Uint64(id[:8]) }
