package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The leader is killed during a log outage, when leases run for minutes, and its process restarts at
// the same address at once. The region would have no leader, and models of failed engines no copy,
// until the long lease has ended, 53 s or more later. A probe of the address shows that the process
// that held the lease has died. The test fails without probeSilent.
func TestRestartDuringLogOutageIsAdmittedSoonAfter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, timing := newFakeLog(), fastTiming()
	timing.OutageLeaseDuration = time.Minute
	all := startThree(t, l, WithTiming(timing))
	l.setDown(true)
	time.Sleep(fastTiming().LogContactMaxAge + readWait + 3*fastTiming().HeartbeatInterval) // leases are long from here on
	old := all[1]
	address := old.server.Listener.Addr().String()
	old.kill()
	again := startInstanceAt(t, address, l, "b", 1, WithTiming(timing))
	l.setDown(false)
	begin := time.Now()
	eventually(t, "the new process is a member", func() bool {
		return again.Status().Self.Incarnation != 0 && again.Status().HoldsLease(time.Now())
	})
	is.True(time.Since(begin) < timing.OutageLeaseDuration/4)
}

// A member is stopped during a log outage and its Leave is lost. It would stay in the ring, and remain
// an owner of its roles, until its long lease has ended.
func TestStopInAnOutageIsDeclaredSoonAfterIt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, timing := newFakeLog(), fastTiming()
	timing.OutageLeaseDuration = time.Minute
	all := startThree(t, l, WithTiming(timing))
	l.setDown(true)
	time.Sleep(fastTiming().LogContactMaxAge + readWait + 3*fastTiming().HeartbeatInterval) // leases are long from here on
	is.True(all[1].Leave(t.Context()) != nil)
	all[1].kill()
	l.setDown(false)
	begin := time.Now()
	eventually(t, "the stopped member is declared lapsed", func() bool { return all[0].members() == 2 })
	is.True(time.Since(begin) < timing.OutageLeaseDuration/4)
}

// A member dies, and right after that a new member takes over its watch from a living watcher. Without
// the handover the new watcher would wait for the longest possible lease, two minutes in which a region
// may have no leader.
func TestDeadMemberUnderANewWatcherIsDeclaredSoon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(20) {
		m := newModel(rules{}, DefaultTiming(), seed)
		m.start(0)
		m.run(2 * time.Second)
		m.start(1)
		m.run(10 * time.Second)
		m.processAt(0).dead = true
		m.start(2)
		m.run(m.now + 15*time.Second)
		is.Equal(m.failure, "")
		is.True(m.converged())
	}
}
