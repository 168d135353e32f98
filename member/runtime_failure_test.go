package member

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

func startThree(t *testing.T, l *fakeLog, opts ...Option) []*instance {
	t.Helper()
	var all []*instance
	for i, name := range []string{"a", "b", "c"} {
		all = append(all, startInstance(t, l, name, i, opts...))
	}
	eventually(t, "three members", func() bool { return allSee(all, 3) })
	return all
}

func allSee(all []*instance, members int) bool {
	for _, in := range all {
		if in.members() != members || !in.Status().Converged() {
			return false
		}
	}
	return true
}

// An instance is killed. Requests for the keys that it served are refused for a few seconds, until its
// watcher declares it lapsed and its roles move. Without a watcher the dead instance would keep them.
func TestDeadMemberLapses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newFakeLog()
	all := startThree(t, l)
	leader, fence := all[0].Status().Leader, all[0].Status().Fence
	var rest []*instance
	for _, in := range all {
		if in.self.ID == leader.ID {
			in.kill()
			continue
		}
		rest = append(rest, in)
	}
	eventually(t, "the others converge", func() bool { return allSee(rest, 2) })
	is.Equal(l.kinds(t)[KindLapse], 1)
	is.True(rest[0].Status().Fence > fence)
	eventually(t, "one leads", func() bool {
		now := time.Now()
		return rest[0].Status().Leads(now) != rest[1].Status().Leads(now)
	})
}

// An instance is stopped during a log outage. Without a limit, waiting for its Leave would delay the
// end of the process until the stop timeout of its requests.
func TestStopDoesNotWaitForALogThatIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newFakeLog()
	all := startThree(t, l)
	l.setDown(true)
	begun := time.Now()
	is.True(all[0].Leave(t.Context()) != nil)
	is.True(time.Since(begun) <= 3*fastTiming().LeaseDuration)
	l.setDown(false)
}

// The log goes down. No lease ends, since grants do not need the log. Then an instance dies too, so
// that the one it watched can neither be granted a lease nor renew it. Its long lease for outages
// lasts. With short leases it, and then the next member, would lose their leases and refuse requests.
func TestLogDownThenWatcherDies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, timing := newFakeLog(), fastTiming()
	timing.OutageLeaseDuration = 4 * time.Second // delays the lapse of the dead member
	all := startThree(t, l, WithTiming(timing))
	// The longest that the log can be taken for reachable: a read that begins right before the outage
	// is answered after its wait, and the contact counts from then.
	_, err := l.Append(t.Context(), "", []byte("{}"))
	is.NoErr(err)
	time.Sleep(10 * time.Millisecond)
	l.setDown(true)
	hold := func(all []*instance, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			is.True(allSee(all, 3)) // no lease ends
		}
	}
	// Until the last contact with the log is too old, plus a heartbeat that one lost call may delay.
	hold(all, readWait+timing.LogContactMaxAge+2*timing.HeartbeatInterval+timing.CallTimeout)
	all[1].kill()
	rest := []*instance{all[0], all[2]}
	hold(rest, 4*fastTiming().LeaseDuration)
	l.setDown(false)
	eventually(t, "both converge", func() bool { return allSee(rest, 2) })
}

// The answers of appends get lost after the appends took effect. Repeated records must not let an
// instance join twice or end a lease that has been extended, either of which would give a role two
// owners. Each record therefore names the watch that it changes.
func TestLostAppendAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newFakeLog()
	l.loseAnswers = true
	all := startThree(t, l)
	all[1].kill()
	rest := []*instance{all[0], all[2]}
	eventually(t, "two members are left", func() bool { return allSee(rest, 2) })
	is.Equal(rest[0].Status().View.Ring, rest[1].Status().View.Ring)
}

// An instance is killed and its process restarts at the same address before its watcher notices.
// Heartbeats reach the new process, which must not answer for the old one: the old incarnation is
// declared lapsed, and then the new one is admitted.
func TestRestartAtKnownAddress(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newFakeLog()
	all := startThree(t, l)
	old := all[1].Status().Self
	all[1].kill()
	all[1] = startInstanceAt(t, old.PeerAddress, l, "b", 1)
	eventually(t, "three members again", func() bool { return allSee(all, 3) && all[1].members() == 3 })
	is.True(all[1].Status().Self.Incarnation > old.Incarnation)
	is.Equal(l.kinds(t)[KindLapse], 1)
}

type fakeList struct {
	mu     sync.Mutex
	listed []galenastair.ListedInstance
}

func (l *fakeList) set(ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = nil
	for _, id := range ids {
		l.listed = append(l.listed, galenastair.ListedInstance{ID: id, Role: galenastair.RoleEntry})
	}
}

func (l *fakeList) List(context.Context) ([]galenastair.ListedInstance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed, nil
}

// All instances die at once, and a new one starts at another address. No watcher is left to declare
// the dead members lapsed, so requests would be refused indefinitely. The new instance starts a new
// ring, but not while the platform lists one of the old members.
func TestBootstrapAfterAllMembersDied(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, list := newFakeLog(), &fakeList{}
	list.set("a", "b", "c")
	for _, in := range startThree(t, l) {
		in.kill()
	}
	bootstraps := l.kinds(t)[KindBootstrap]
	timing := fastTiming()
	timing.DeadAfter = 500 * time.Millisecond
	d := startInstance(t, l, "d", 1, WithInstanceList(list), WithTiming(timing))
	time.Sleep(3 * timing.DeadAfter)
	is.Equal(l.kinds(t)[KindBootstrap], bootstraps) // no new ring while an old member may be alive
	list.set("d")
	eventually(t, "d is the sole member", func() bool { return d.members() == 1 })
	is.True(d.Status().View.Epoch > 3)
}

// The log expires old records. An instance that starts afterwards cannot read the stream from its
// beginning, so it restores the leader's newest snapshot and continues from there.
func TestStartFromSnapshot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newFakeLog()
	period := WithSnapshotPeriod(200 * time.Millisecond)
	all := startThree(t, l, period, func(r *Runtime) { WithStateMachine(&sumStateMachine{})(r) })
	eventually(t, "a snapshot", func() bool { return l.kinds(t)[KindSnapshot] > 1 })
	l.expire(3)
	all = append(all, startInstance(t, l, "d", 0, WithStateMachine(&sumStateMachine{})))
	eventually(t, "four members", func() bool { return allSee(all, 4) })
	eventually(t, "equal states", func() bool { return sumOf(t, all[3]) == sumOf(t, all[0]) })
	is.Equal(all[3].Status().View.Ring, all[0].Status().View.Ring)
}

func sumOf(t *testing.T, in *instance) (n int) {
	t.Helper()
	if err := in.loop.Do(t.Context(), func() { n = in.stateMachines[0].(*sumStateMachine).Sum }); err != nil {
		t.Fatal(err)
	}
	return n
}

// sumStateMachine counts the members that joined, as a further state machine of the stream.
type sumStateMachine struct{ Sum int }

func (s *sumStateMachine) Name() string { return "Sum" }

func (s *sumStateMachine) Apply(_ time.Time, _ galenastair.Offset, rec galenastair.Record, _ *State) {
	if rec.Kind == KindJoin || rec.Kind == KindBootstrap {
		s.Sum++
	}
}

func (s *sumStateMachine) Snapshot() (json.RawMessage, error) { return json.Marshal(s) }

func (s *sumStateMachine) Restore(_ time.Time, _ galenastair.Offset, raw json.RawMessage) error {
	if raw == nil {
		return nil
	}
	return json.Unmarshal(raw, s)
}

// blackholeConn drops all written data once silent is set, like a connection whose state a firewall has lost.
type blackholeConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c blackholeConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// All open connections stop delivering data while new ones work, as after a change in a firewall
// between the zones. Heartbeats on them would time out indefinitely and the leases would end. A failed
// call therefore drops the connections to the peer.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var mu sync.Mutex
	var open []*atomic.Bool
	transport := func() *http.Transport {
		tr := newTransport()
		tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			mu.Lock()
			defer mu.Unlock()
			open = append(open, new(atomic.Bool))
			return blackholeConn{c, open[len(open)-1]}, err
		}
		return tr
	}
	l := newFakeLog()
	all := startThree(t, l, WithTransport(transport))
	mu.Lock()
	for _, silent := range open {
		silent.Store(true)
	}
	mu.Unlock()
	for end := time.Now().Add(4 * fastTiming().LeaseDuration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		is.True(allSee(all, 3)) // no lease ends
	}
}
