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
	one := map[galenastair.BackendServerID]pool.Load{"a": {Flights: 2, Unread: 300}, "b": {Flights: 1, Unread: 7}}
	two := map[galenastair.BackendServerID]pool.Load{"a": {Flights: 1, Unread: 100}}
	sum.add(one)
	sum.add(two)
	is.Equal(sum.byKey()[pool.KeyOf("a")], pool.Load{Flights: 3, Unread: 400})
	sum.subtract(one)
	is.Equal(sum["a"], two["a"])
	sum.subtract(two)
	is.Equal(len(sum), 0)
}
