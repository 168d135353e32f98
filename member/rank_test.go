package member

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"galenastair"
)

func testMembers(n, zones int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{
			ID: galenastair.InstanceID(fmt.Sprint("i", i)), Incarnation: Incarnation(i + 1),
			AvailabilityZone: galenastair.AvailabilityZone(fmt.Sprint("z", i%zones)),
		})
	}
	return out
}

// memberAtRank must agree with Rank, neighbours among the first slots must differ in zone, and the
// death of a member must move only its own slots.
func TestRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		zones := rapid.IntRange(1, 10).Draw(t, "zones")
		members := testMembers(rapid.IntRange(2*zones, 60).Draw(t, "members"), zones)
		key := rapid.String().Draw(t, "key")
		ranked := Rank(members, key)
		dead := rapid.IntRange(0, len(members)-1).Draw(t, "dead")
		rest := slices.Concat(members[:dead], members[dead+1:])
		for slot := range ranked {
			m, ok := memberAtRank(members, key, slot)
			is.True(ok)
			is.Equal(m, ranked[slot])
			if slot > 0 && slot < zones {
				is.True(ranked[slot-1].AvailabilityZone != m.AvailabilityZone)
			}
			if slot < zones && m != members[dead] {
				moved, _ := memberAtRank(rest, key, slot)
				is.Equal(moved, m)
			}
		}
	})
}

func BenchmarkServes(b *testing.B) {
	s := &Status{Self: Member{Incarnation: 1}, View: View{Epoch: 60, Ring: testMembers(53, 2)}, lease: lease{soleMember: true}}
	s.history = &ownerHistory{views: []View{s.View}}
	b.ReportAllocs()
	for b.Loop() {
		s.Serves("some organisation", 1, modelStart)
	}
}
