package entry

import (
	"testing"

	"github.com/matryer/is"

	"galenastair/member"
	"galenastair/rate"
)

// Two entries are left of three while one is replaced. The third share of every
// organisation had no holder, so each had two thirds of its contract and was
// refused within its rate. Seen failing with the slot taken as it is.
func TestSmallRingHoldsAllShares(t *testing.T) {
	is := is.New(t)
	for size := 1; size <= 5; size++ {
		ring := make([]member.Member, size)
		for i := range ring {
			ring[i] = member.Member{ID: "entry", Incarnation: member.Incarnation(i + 1)}
		}
		for slot := range rate.Holders {
			_, ok := shareDuty(rate.Account{Organisation: "Furnir", Slot: rate.Slot(slot)})(member.View{Ring: ring})
			is.True(ok)
		}
	}
}
