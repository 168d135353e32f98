package lease_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/lease"
	"galenastair/platform"
	"galenastair/standin/metastore"
)

// instance is an elector beside an exchange with whoever leads.
type instance struct {
	elector *lease.Elector
	lease   *lease.Lease
	ended   chan error
	cancel  context.CancelFunc
	// kill cuts the instance off from the store for good.
	kill func()
}

// cuttable is a store that can be cut off.
type cuttable struct {
	galenastair.Store
	cut atomic.Bool
}

func (c *cuttable) PutAt(ctx context.Context, t galenastair.Topic, key string, value []byte, at galenastair.Offset) (galenastair.Offset, error) {
	if c.cut.Load() {
		return 0, galenastair.ErrStoreUnavailable
	}
	return c.Store.PutAt(ctx, t, key, value, at)
}

// run starts an instance; its exchange reaches those of the fleet that are listed.
func run(t *testing.T, address, member string, fleet map[string]*instance, opts ...lease.Option) {
	t.Helper()
	x := &instance{lease: lease.New(lease.DefaultBounds(between, true)), ended: make(chan error, 1)}
	store := &cuttable{Store: platform.NewStore(address)}
	x.kill = func() { store.cut.Store(true) }
	x.elector = lease.NewElector(store, platform.LeaseTopic, x.lease, member, opts...)
	ctx, cancel := context.WithCancel(t.Context())
	x.cancel = cancel
	go func() { x.ended <- x.elector.Run(ctx) }()
	fleet[member] = x
	t.Cleanup(cancel)
}

// exchange is a moment of all instances' exchanges with the leader.
func exchange(fleet map[string]*instance) {
	for _, x := range fleet {
		leader := fleet[x.elector.Leader()]
		switch {
		case leader == nil:
		case leader.holds():
			x.elector.Answered(leader.elector.Renewal())
		default:
			x.elector.Denied()
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
	_, ok := x.lease.Fence()
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

// Instances that start one after the other take the lease from a sound leader.
func TestStartingInstanceDoesNotTakeTheLease(t *testing.T) {
	is := is.New(t)
	_, address := newStore(t)
	fleet := map[string]*instance{}
	run(t, address, "one", fleet)
	first := holder(t, fleet)
	for _, member := range []string{"two", "three", "four"} {
		run(t, address, member, fleet)
		exchanges(fleet, 20)
		is.Equal(holder(t, fleet), first)
		is.Equal(fleet[member].elector.Leader(), first)
	}
}

// After a planned stop of the leader nobody leads for seconds, or one after the other does.
func TestLeaseIsTakenOverOnce(t *testing.T) {
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

// Calls to the leader fail while exchanges go on, and each failure asks the store who leads.
func TestNoCallsToTheStoreWhileTheLeaderAnswers(t *testing.T) {
	is := is.New(t)
	store, address := newStore(t)
	fleet := map[string]*instance{}
	run(t, address, "one", fleet)
	holder(t, fleet)
	run(t, address, "two", fleet)
	exchanges(fleet, 20)
	before := store.Calls("/v1/log-newest")
	exchanges(fleet, 40)
	is.Equal(store.Calls("/v1/log-newest"), before)
}

// The instance with a link of a twentieth of the other's leads, and exchanges fill its link.
func TestLargeLinksComeFirst(t *testing.T) {
	is := is.New(t)
	_, address := newStore(t)
	fleet := map[string]*instance{}
	run(t, address, "small", fleet, lease.WithLink(10))
	run(t, address, "large", fleet, lease.WithLink(200))
	is.Equal(holder(t, fleet), "large")
}

// All of a large fleet are started again at once; the lease goes from one to the other, and
// each asks the store again and again.
func TestStartOfAllElectsOnce(t *testing.T) {
	const instances = 60
	is := is.New(t)
	store, address := newStore(t)
	fleet := map[string]*instance{}
	for i := range instances {
		run(t, address, fmt.Sprint("i", i), fleet, lease.WithLink(200))
	}
	first := holder(t, fleet)
	for range 30 {
		is.Equal(holder(t, fleet), first)
		time.Sleep(50 * time.Millisecond)
	}
	is.True(store.Calls("/v1/log-newest") <= 4*instances)
	is.True(store.Calls("/v1/log-append") <= instances)
}

// The leader is killed, and a fleet that misses it waits longer than the ttl and a second.
func TestKilledLeaderIsReplaced(t *testing.T) {
	is := is.New(t)
	_, address := newStore(t)
	fleet := map[string]*instance{}
	for i := range 8 {
		run(t, address, fmt.Sprint("i", i), fleet, lease.WithLink(200))
	}
	first := holder(t, fleet)
	exchanges(fleet, 20)
	fleet[first].kill()
	delete(fleet, first)
	at := time.Now()
	next := holder(t, fleet)
	is.True(next != first)
	is.True(time.Since(at) < 3*time.Second)
}

// The leader renews the lease after its last answer and then stands still; who takes the lease
// finds the newer record only when the ttl is over, and waits for it once more.
func TestRenewalAfterTheLastAnswer(t *testing.T) {
	is := is.New(t)
	_, address := newStore(t)
	fleet := map[string]*instance{}
	for i := range 4 {
		run(t, address, fmt.Sprint("i", i), fleet, lease.WithLink(200))
	}
	first := holder(t, fleet)
	exchanges(fleet, 20)
	// it renews once more, unknown to the others
	leader := fleet[first]
	delete(fleet, first)
	renewed := leader.elector.Renewal().Offset
	until(t, "a renewal", func() bool { return leader.elector.Renewal().Offset > renewed })
	leader.kill()
	silent := time.Now()
	time.Sleep(400 * time.Millisecond)
	for _, x := range fleet {
		x.elector.Suspect()
	}
	next := holder(t, fleet)
	is.True(next != first)
	// the call that failed, the ttl, and the time in which the first comes
	is.True(time.Since(silent) < 2600*time.Millisecond)
}

// The answer to a renewal is lost though the write acts, and the leader takes its own record
// for another's.
func TestLostAnswerOfARenewal(t *testing.T) {
	is := is.New(t)
	store, address := newStore(t)
	fleet := map[string]*instance{}
	run(t, address, "one", fleet)
	is.Equal(holder(t, fleet), "one")
	fence, _ := fleet["one"].lease.Fence()
	store.Switch(func(sw *metastore.Switches) { sw.LoseAnswers, sw.Only = true, "/v1/log-append" })
	appends := store.Calls("/v1/log-append")
	until(t, "a renewal without an answer", func() bool { return store.Calls("/v1/log-append") > appends })
	store.Switch(func(sw *metastore.Switches) { sw.LoseAnswers = false })
	time.Sleep(time.Second)
	now, ok := fleet["one"].lease.Fence()
	is.True(ok)
	is.Equal(now, fence)
}
