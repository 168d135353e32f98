package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"galenastair"
)

// Rank orders members for a key, neighbours in different availability zones.
//
// The zones are ordered by rendezvous hashing of the key, and so are the
// members of each zone; the ranking takes one member of each zone in turn. A
// member that dies thus moves only its own slot, to the next member of its
// zone; ranking all members together and skipping zones already used would move
// most of the other slots too, and each move stops a duty for seconds.
func Rank(members []Member, key string) []Member {
	zones := rankZones(members, key)
	out := make([]Member, 0, len(members))
	for pass := 0; len(out) < len(members); pass++ {
		for _, z := range zones {
			if pass < len(z) {
				out = append(out, z[pass].Member)
			}
		}
	}
	return out
}

type scored struct {
	Member
	score uint64
}

func rankZones(members []Member, key string) [][]scored {
	byZone := make(map[galenastair.AvailabilityZone][]scored)
	names := make([]galenastair.AvailabilityZone, 0, 8)
	for _, m := range members {
		if _, ok := byZone[m.AvailabilityZone]; !ok {
			names = append(names, m.AvailabilityZone)
		}
		byZone[m.AvailabilityZone] = append(byZone[m.AvailabilityZone], scored{m, score(key, "member", string(m.ID))})
	}
	slices.SortFunc(names, func(a, b galenastair.AvailabilityZone) int {
		return cmp.Or(cmp.Compare(score(key, "zone", string(b)), score(key, "zone", string(a))), cmp.Compare(a, b))
	})
	out := make([][]scored, 0, len(names))
	for _, name := range names {
		z := byZone[name]
		slices.SortFunc(z, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
		})
		out = append(out, z)
	}
	return out
}

// score separates its parts by a zero byte, which no id contains.
func score(key, kind, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{key, kind, name} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
