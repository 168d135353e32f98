package turn_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/platform"
	"galenastair/turn"
)

// instance is a keeper of the duty beside an exchange with whoever holds it.
type instance struct {
	keeper *turn.Keeper
	turn   *turn.Turn
	ended  chan error
	cancel context.CancelFunc
}

// run starts an instance; its exchange reaches those of the fleet that are listed.
func run(t *testing.T, address, member string, fleet map[string]*instance, opts ...turn.Option) {
	t.Helper()
	x := &instance{turn: turn.New(turn.DefaultBounds(between, true)), ended: make(chan error, 1)}
	x.keeper = turn.NewKeeper(platform.NewStore(address), x.turn, member, opts...)
	ctx, cancel := context.WithCancel(t.Context())
	x.cancel = cancel
	go func() { x.ended <- x.keeper.Run(ctx) }()
	fleet[member] = x
	t.Cleanup(cancel)
}

// exchange is a moment of all instances' exchanges with the holder.
func exchange(fleet map[string]*instance) {
	for _, x := range fleet {
		holder := fleet[x.keeper.Holder()]
		switch {
		case holder == nil:
			x.keeper.Doubt()
		case holder.holds():
			x.keeper.Heard()
		default:
			x.keeper.Denied()
		}
	}
}

// exchanges goes on for a number of them, one each 50 ms.
func exchanges(fleet map[string]*instance, n int) {
	for range n {
		exchange(fleet)
		time.Sleep(50 * time.Millisecond)
	}
}

func (x *instance) holds() bool {
	_, ok := x.turn.Fence()
	return ok
}

// holder waits until one instance holds the duty, and returns its name.
func holder(t *testing.T, fleet map[string]*instance) string {
	t.Helper()
	name := ""
	until(t, "a holder", func() bool {
		exchange(fleet)
		for member, x := range fleet {
			if x.holds() {
				name = member
			}
		}
		return name != ""
	})
	return name
}

// Instances are started again one after the other. Each that came back took the duty from
// its sound holder, as the store deals the partitions anew for each member, and engines got
// no orders for seconds each time: models that were asked for had no copy meanwhile.
func TestWhoComesDoesNotTakeTheDuty(t *testing.T) {
	is := is.New(t)
	_, address := newStore(t)
	fleet := map[string]*instance{}
	run(t, address, "one", fleet)
	first := holder(t, fleet)
	for _, member := range []string{"two", "three", "four"} {
		run(t, address, member, fleet)
		exchanges(fleet, 20)
		is.Equal(holder(t, fleet), first)
		is.Equal(fleet[member].keeper.Holder(), first)
	}
}

// The holder is stopped as planned, and the next is there within three seconds: one
// that missed it, and not one after the other of all that did.
func TestDutyIsTakenOverOnce(t *testing.T) {
	is := is.New(t)
	_, address := newStore(t)
	fleet := map[string]*instance{}
	run(t, address, "one", fleet)
	first := holder(t, fleet)
	for _, member := range []string{"two", "three", "four"} {
		run(t, address, member, fleet)
	}
	exchanges(fleet, 20)
	fleet[first].cancel()
	is.True(errors.Is(<-fleet[first].ended, context.Canceled))
	delete(fleet, first)
	left := time.Now()
	next := holder(t, fleet)
	is.True(time.Since(left) < 3*time.Second)
	exchanges(fleet, 30)
	is.Equal(holder(t, fleet), next)
}

// Many requests of a burst wait for a loan in vain, while exchanges with the lender go on.
// Each that failed asked the store who holds the duty: with 87 instances that was two of
// five calls of a day.
func TestLateCallsDoNotAskTheStore(t *testing.T) {
	is := is.New(t)
	store, address := newStore(t)
	fleet := map[string]*instance{}
	run(t, address, "one", fleet)
	holder(t, fleet)
	run(t, address, "two", fleet)
	exchanges(fleet, 20)
	before := store.Calls("/v1/log-owners")
	for range 40 {
		exchange(fleet)
		fleet["two"].keeper.Doubt()
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(store.Calls("/v1/log-owners"), before)
}

// Two instances start, one with a link of a twentieth of the other's. The small one held the
// duty by chance, and the exchanges of a large fleet filled its link.
func TestLargeLinksComeFirst(t *testing.T) {
	is := is.New(t)
	_, address := newStore(t)
	fleet := map[string]*instance{}
	run(t, address, "small", fleet, turn.WithLink(10))
	run(t, address, "large", fleet, turn.WithLink(200))
	is.Equal(holder(t, fleet), "large")
}
