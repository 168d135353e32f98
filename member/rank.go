package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"galenastair"
)

// Rank orders members for a key such that neighbours are in different availability zones.
//
// The zones are ordered by rendezvous hashing of the key, and so are the members of each zone. The
// ranking takes one member of each zone in turn. When a member dies, only its own slot moves, to
// the next member of its zone. Ranking all members together and skipping zones already used would
// move most of the other slots too, and after each move the slot has no owner for seconds.
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

type scoredMember struct {
	Member
	score uint64
}

func rankZones(members []Member, key string) [][]scoredMember {
	byZone := make(map[galenastair.AvailabilityZone][]scoredMember)
	names := make([]galenastair.AvailabilityZone, 0, 8)
	for _, m := range members {
		if _, ok := byZone[m.AvailabilityZone]; !ok {
			names = append(names, m.AvailabilityZone)
		}
		byZone[m.AvailabilityZone] = append(byZone[m.AvailabilityZone], scoredMember{m, score(key, "member", string(m.ID))})
	}
	slices.SortFunc(names, func(a, b galenastair.AvailabilityZone) int {
		return cmp.Or(cmp.Compare(score(key, "zone", string(b)), score(key, "zone", string(a))), cmp.Compare(a, b))
	})
	out := make([][]scoredMember, 0, len(names))
	for _, name := range names {
		z := byZone[name]
		slices.SortFunc(z, func(a, b scoredMember) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
		})
		out = append(out, z)
	}
	return out
}

// memberAtRank returns the member at a position of the ranking. Requests only need the first slots,
// which have one zone each; for those it neither sorts nor allocates.
func memberAtRank(members []Member, key string, slot int) (Member, bool) {
	if slot >= len(members) {
		return Member{}, false
	}
	var buf [maxStackZones]zoneScore
	zones := buf[:0]
	for i := range members {
		zones = addZone(zones, key, members[i].AvailabilityZone)
	}
	if slot >= len(zones) || len(zones) > maxStackZones {
		return Rank(members, key)[slot], true
	}
	zone := nthZone(zones, slot)
	return topMember(members, key, zone), true
}

// maxStackZones is the number of zones that memberAtRank handles without allocating; regions have up to 4.
const maxStackZones = 8

type zoneScore struct {
	name  galenastair.AvailabilityZone
	score uint64
}

func addZone(zones []zoneScore, key string, name galenastair.AvailabilityZone) []zoneScore {
	for i := range zones {
		if zones[i].name == name {
			return zones
		}
	}
	return append(zones, zoneScore{name, score(key, "zone", string(name))})
}

// nthZone returns the zone at a rank. It sorts the zones only up to that rank.
func nthZone(zones []zoneScore, n int) galenastair.AvailabilityZone {
	for i := 0; ; i++ {
		best := i
		for j := i + 1; j < len(zones); j++ {
			if ranksBefore(zones[j].score, zones[best].score, string(zones[j].name), string(zones[best].name)) {
				best = j
			}
		}
		zones[i], zones[best] = zones[best], zones[i]
		if i == n {
			return zones[i].name
		}
	}
}

func topMember(members []Member, key string, zone galenastair.AvailabilityZone) Member {
	best, top := -1, uint64(0)
	for i := range members {
		if members[i].AvailabilityZone != zone {
			continue
		}
		s := score(key, "member", string(members[i].ID))
		if best < 0 || ranksBefore(s, top, string(members[i].ID), string(members[best].ID)) {
			best, top = i, s
		}
	}
	return members[best]
}

// ranksBefore orders by descending score, and by name if the scores are equal.
func ranksBefore(a, b uint64, nameA, nameB string) bool {
	return a > b || a == b && nameA < nameB
}

// score hashes its arguments, separated by a zero byte, which no id contains.
func score(key, kind, name string) uint64 {
	var buf [128]byte
	b := append(buf[:0], key...)
	b = append(b, 0)
	b = append(b, kind...)
	b = append(b, 0)
	b = append(b, name...)
	return xxhash.Sum64(b)
}
