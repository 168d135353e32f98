package planner

import (
	"testing"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/pool"
)

// If adding and subtracting reports left a remainder, an idle server would count as busy.
func TestSubtractedLoadsLeaveNothing(t *testing.T) {
	is := is.New(t)
	sum := loads{}
	one := map[galenastair.BackendServerID]pool.Load{"a": {InFlight: 2, PendingTokens: 300}, "b": {InFlight: 1, PendingTokens: 7}}
	two := map[galenastair.BackendServerID]pool.Load{"a": {InFlight: 1, PendingTokens: 100}}
	sum.add(one)
	sum.add(two)
	is.Equal(sum.byKey()[pool.KeyOf("a")], pool.Load{InFlight: 3, PendingTokens: 400})
	sum.subtract(one)
	is.Equal(sum["a"], two["a"])
	sum.subtract(two)
	is.Equal(len(sum), 0)
}
