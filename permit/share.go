package permit

import (
	"hash/fnv"

	"galenastair"
)

// Share returns the number of requests that one instance may have in flight at a server while no issuer
// answers. The shares of all instances, with indexes from 0, add up to the limit.
func Share(id galenastair.BackendServerID, limit, index, fleetSize int) int {
	if fleetSize <= 0 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	// each server's remainder begins at another instance
	position := (index + int(h.Sum32()>>1)) % fleetSize
	share := limit / fleetSize
	if position < limit%fleetSize {
		share++
	}
	return share
}
