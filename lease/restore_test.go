package lease_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/lease"
)

// maxElection is how long a fleet may be without a leader after the store has been restored.
const maxElection = 3 * time.Second

// highestFence returns the highest fencing token of the instances that lead.
func highestFence(fleet map[string]*instance) galenastair.Fence {
	highest := galenastair.Fence(0)
	for _, x := range fleet {
		if fence, ok := x.lease.Fence(); ok {
			highest = max(highest, fence)
		}
	}
	return highest
}

// startFleet starts instances that exchange with a leader.
func startFleet(t *testing.T, address string, instances int) map[string]*instance {
	t.Helper()
	fleet := map[string]*instance{}
	for i := range instances {
		startInstance(t, address, fmt.Sprint("i", i), fleet, lease.WithLinkMbps(200))
	}
	waitForLeader(t, fleet)
	runExchanges(fleet, 20)
	return fleet
}

// Guards against a fleet that has no leader once the store has lost the newest records of the lease.
func TestFleetHasALeaderAfterTheStoreIsRestored(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{1, 3, 12} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store, address := startStore(t)
			fleet := startFleet(t, address, instances)
			for range 2 {
				older := store.Copy()
				runExchanges(fleet, 60)
				before := highestFence(fleet)
				store.Restore(older)
				appends := store.CallCount("/v1/log-append")
				restored := time.Now()
				// until its lease ends, the leader before may take itself for one
				waitFor(t, "a leader of the new timeline", func() bool {
					exchange(fleet)
					return highestFence(fleet) > before
				})
				is.True(time.Since(restored) < maxElection)
				runExchanges(fleet, 40)
				is.True(highestFence(fleet) > before)
				// without a pause between conflicts there are hundreds
				is.True(store.CallCount("/v1/log-append")-appends < 40)
			}
		})
	}
}

// Guards against a leader that does not notice that the copy names another one, which was stopped since.
func TestCopyThatNamesAnEarlierLeader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store, address := startStore(t)
	fleet := startFleet(t, address, 4)
	first := waitForLeader(t, fleet)
	older := store.Copy()
	fleet[first].partition()
	fleet[first].cancel()
	delete(fleet, first)
	waitForLeader(t, fleet)
	runExchanges(fleet, 20)
	before := highestFence(fleet)
	store.Restore(older)
	restored := time.Now()
	waitFor(t, "a leader of the new timeline", func() bool {
		exchange(fleet)
		return highestFence(fleet) > before
	})
	is.True(time.Since(restored) < maxElection+time.Second)
}

// Guards against a fleet without a leader after two restores of which no instance saw the first.
func TestFleetThatMissedATimelineHasALeader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store, address := startStore(t)
	fleet := startFleet(t, address, 3)
	older := store.Copy()
	runExchanges(fleet, 60)
	store.Restore(older)
	store.Restore(older)
	restored := time.Now()
	waitFor(t, "a leader of the last timeline", func() bool {
		exchange(fleet)
		return highestFence(fleet).Timeline() == 2
	})
	is.True(time.Since(restored) < maxElection)
}

// Guards against fencing tokens that are given out again: each term has one that no earlier term had.
func TestFencingTokensGrowOverRestoredStores(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store, address := startStore(t)
	holders := map[galenastair.Fence]string{}
	highest := galenastair.Fence(0)
	fleet := map[string]*instance{}
	startInstance(t, address, "one", fleet)
	waitForLeader(t, fleet)
	older := store.Copy()
	for n := range 4 {
		// the leader is replaced in each timeline
		member := fmt.Sprint("next", n)
		startInstance(t, address, member, fleet)
		for other, x := range fleet {
			if other != member {
				x.partition()
				x.cancel()
				delete(fleet, other)
			}
		}
		waitForLeader(t, fleet)
		fence, ok := fleet[member].lease.Fence()
		is.True(ok)
		is.Equal(holders[fence], "")
		is.True(fence > highest)
		holders[fence], highest = member, fence
		runExchanges(fleet, 10)
		store.Restore(older)
	}
}

// Guards against a leader that goes on with an older checkpoint than its own, and does not store its own again.
func TestLeaderStoresItsCheckpointAgainAfterARestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store, address := startStore(t)
	n := &fakeCheckpointer{next: "older"}
	stop := startElector(t, address, "one", n)
	t.Cleanup(stop)
	waitFor(t, "the older checkpoint", func() bool { written, _, _ := n.calls(); return slices.Contains(written, "older") })
	older := store.Copy()
	n.set("newer")
	waitFor(t, "the newer checkpoint", func() bool { written, _, _ := n.calls(); return slices.Contains(written, "newer") })
	store.Restore(older)
	waitFor(t, "the newer checkpoint in the new timeline", func() bool { written, _, _ := n.calls(); return len(written) > 2 })
	written, read, _ := n.calls()
	is.Equal(written[2], "newer")
	is.Equal(read[len(read)-1], "newer")
}

// Guards against an instance that starts in a restored store and uses once more what a checkpoint allows once.
func TestCheckpointOfARestoredStoreIsNotUsedAsANewOne(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store, address := startStore(t)
	leader := &fakeCheckpointer{next: "c"}
	stop := startElector(t, address, "one", leader)
	waitFor(t, "the checkpoint", func() bool { written, _, _ := leader.calls(); return len(written) > 0 })
	older := store.Copy()
	stop()
	store.Restore(older)
	n := &fakeCheckpointer{}
	t.Cleanup(startElector(t, address, "two", n))
	_, read, first := n.calls()
	is.Equal(read, []string{"c"})
	is.Equal(first, []bool{false})
}
