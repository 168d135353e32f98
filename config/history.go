package config

import (
	"slices"

	"galenastair"
)

// historyLimit is how many offsets back a snapshot may lie and still be checked:
// its parts are appended within a minute, and 1,024 records are over five hours
// at 4,500 changes a day.
const historyLimit = 1024

// history holds the digests of the last offsets, to check snapshots of the past against.
type history struct {
	offsets []galenastair.Offset
	digests []Digest
}

func (h *history) add(next galenastair.Offset, d Digest) {
	h.offsets = append(h.offsets, next)
	h.digests = append(h.digests, d)
	if len(h.offsets) > historyLimit {
		h.offsets, h.digests = h.offsets[1:], h.digests[1:]
	}
}

func (h *history) at(next galenastair.Offset) (Digest, bool) {
	i, found := slices.BinarySearch(h.offsets, next)
	if !found {
		return 0, false
	}
	return h.digests[i], true
}
