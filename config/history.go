package config

import (
	"slices"

	"galenastair"
)

// maxDigestHistory is the number of offsets for which digests are kept to verify
// snapshots. The parts of a snapshot are appended within a minute, and 1,024 records
// cover more than five hours at 4,500 changes a day.
const maxDigestHistory = 1024

// digestHistory holds the digests of the most recent offsets, against which snapshots are verified.
type digestHistory struct {
	offsets []galenastair.Offset
	digests []Digest
}

func (h *digestHistory) add(next galenastair.Offset, d Digest) {
	h.offsets = append(h.offsets, next)
	h.digests = append(h.digests, d)
	if len(h.offsets) > maxDigestHistory {
		h.offsets, h.digests = h.offsets[1:], h.digests[1:]
	}
}

func (h *digestHistory) get(next galenastair.Offset) (Digest, bool) {
	i, found := slices.BinarySearch(h.offsets, next)
	if !found {
		return 0, false
	}
	return h.digests[i], true
}
