package entry

import (
	"testing"

	"github.com/matryer/is"

	"galenastair/member"
	"galenastair/rate"
)

// While one of three instances is replaced, the ring has two members. If shareOwner did
// not wrap slots around the ring, the third share of each organisation would have no
// owner, and each organisation would have two thirds of its contract and be refused within
// its rate.
func TestSmallRingOwnsAllShares(t *testing.T) {
	is := is.New(t)
	for size := 1; size <= 5; size++ {
		ring := make([]member.Member, size)
		for i := range ring {
			ring[i] = member.Member{ID: "entry", Incarnation: member.Incarnation(i + 1)}
		}
		for slot := range rate.Holders {
			_, ok := shareOwner(rate.ShareID{Organisation: "Furnir", Slot: rate.Slot(slot)})(member.View{Ring: ring})
			is.True(ok)
		}
	}
}
