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
		if in.members() != members || !in.Status().Settled() {
			return false
		}
	}
	return true
}

// An instance is killed. Callers of the keys that it served are refused by it
// and nobody else for a few seconds; then its watcher declares it lapsed, and its
// duties pass on. Without a watcher the dead instance would keep them for good.
func TestDeadMemberIsDeclared(t *testing.T) {
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
	eventually(t, "the others go on", func() bool { return allSee(rest, 2) })
	is.Equal(l.kinds(t)[KindLapse], 1)
	is.True(rest[0].Status().Fence > fence)
	eventually(t, "one leads", func() bool {
		now := time.Now()
		return rest[0].Status().Leads(now) != rest[1].Status().Leads(now)
	})
}

// An instance is told to stop while the log is down, and does not end before its requests' time
// to stop is over.
func TestStopDoesNotWaitForALogThatIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newFakeLog()
	all := startThree(t, l)
	l.setDown(true)
	begun := time.Now()
	is.True(all[0].Leave(t.Context()) != nil)
	is.True(time.Since(begun) <= 3*quick().Lease)
	l.setDown(false)
}

// The platform's log goes down while callers send requests. No lease ends, since
// promises need no log. Then an instance dies too: the one it watched can neither
// be promised nor renew. It lives on a promise that was given for an outage;
// with short promises alone it and then the next would refuse all callers.
func TestLogDownThenWatcherDies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, timing := newFakeLog(), quick()
	timing.Outage = 4 * time.Second // the dead member is declared this late
	all := startThree(t, l, WithTiming(timing))
	// the latest that the log can be believed to be up: a read that begins right before
	// the outage waits its time and is answered, and only then does its age count
	_, err := l.Append(t.Context(), "", []byte("{}"))
	is.NoErr(err)
	time.Sleep(10 * time.Millisecond)
	l.setDown(true)
	hold := func(all []*instance, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			is.True(allSee(all, 3)) // no lease ends
		}
	}
	// until the last word of the log is too old, and then a heartbeat that one loss may delay
	hold(all, followWait+timing.Contact+2*timing.Heartbeat+timing.Timeout)
	all[1].kill()
	rest := []*instance{all[0], all[2]}
	hold(rest, 4*quick().Lease)
	l.setDown(false)
	eventually(t, "both go on", func() bool { return allSee(rest, 2) })
}

// Answers of appends get lost after they took effect. An instance that retried
// blindly would join twice or end a lease that has been revived; callers would
// see two holders of one duty. Each admission names the watch that it changes.
func TestLostAppendAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newFakeLog()
	l.lose = true
	all := startThree(t, l)
	all[1].kill()
	rest := []*instance{all[0], all[2]}
	eventually(t, "two are left", func() bool { return allSee(rest, 2) })
	is.Equal(rest[0].Status().View.Ring, rest[1].Status().View.Ring)
}

// An instance is killed and its process starts again at the same address before
// anyone noticed. Heartbeats reach the new process, which must not answer for the
// old: the old incarnation lapses, then the new one is admitted.
func TestRestartAtKnownAddress(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newFakeLog()
	all := startThree(t, l)
	old := all[1].Status().Self
	all[1].kill()
	all[1] = startAt(t, old.PeerAddress, l, "b", 1)
	eventually(t, "three again", func() bool { return allSee(all, 3) && all[1].members() == 3 })
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

// All instances die at once, and a new one starts at another address. Nobody is
// left to declare anyone, so callers would be refused for good. It starts a fresh
// ring, but not while the platform still lists one of the old members.
func TestFreshRingAfterAllDied(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, list := newFakeLog(), &fakeList{}
	list.set("a", "b", "c")
	for _, in := range startThree(t, l) {
		in.kill()
	}
	founded := l.kinds(t)[KindFound]
	timing := quick()
	timing.Absence = 500 * time.Millisecond
	d := startInstance(t, l, "d", 1, WithInstanceList(list), WithTiming(timing))
	time.Sleep(3 * timing.Absence)
	is.Equal(l.kinds(t)[KindFound], founded) // while one may live, no fresh ring
	list.set("d")
	eventually(t, "d is alone", func() bool { return d.members() == 1 })
	is.True(d.Status().View.Epoch > 3)
}

// The log expires old records. An instance that starts then would find a fold
// without a beginning; it takes the leader's newest snapshot and goes on from it.
func TestStartFromSnapshot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newFakeLog()
	period := WithSnapshotPeriod(200 * time.Millisecond)
	all := startThree(t, l, period, func(r *Runtime) { WithFold(&sumFold{})(r) })
	eventually(t, "a snapshot", func() bool { return l.kinds(t)[KindSnapshot] > 1 })
	l.expire(3)
	all = append(all, startInstance(t, l, "d", 0, WithFold(&sumFold{})))
	eventually(t, "four members", func() bool { return allSee(all, 4) })
	eventually(t, "equal folds", func() bool { return sum(t, all[3]) == sum(t, all[0]) })
	is.Equal(all[3].Status().View.Ring, all[0].Status().View.Ring)
}

func sum(t *testing.T, in *instance) (n int) {
	t.Helper()
	if err := in.loop.Do(t.Context(), func() { n = in.folds[0].(*sumFold).Sum }); err != nil {
		t.Fatal(err)
	}
	return n
}

// sumFold counts membership records, as another fold of the stream.
type sumFold struct{ Sum int }

func (s *sumFold) Name() string { return "Sum" }

func (s *sumFold) Apply(_ time.Time, _ galenastair.Offset, rec galenastair.Record, _ *State) {
	if rec.Kind == KindJoin || rec.Kind == KindFound {
		s.Sum++
	}
}

func (s *sumFold) Snapshot() (json.RawMessage, error) { return json.Marshal(s) }

func (s *sumFold) Restore(_ time.Time, _ galenastair.Offset, raw json.RawMessage) error {
	if raw == nil {
		return nil
	}
	return json.Unmarshal(raw, s)
}

// silentConn is a connection that something between its ends has lost track of.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// All open connections go silent at once while new ones work, as after a change
// in a firewall between the zones. Heartbeats on them would time out for good and
// leases would end; each failed call gives up the peer's connections instead.
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
			return silentConn{c, open[len(open)-1]}, err
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
	for end := time.Now().Add(4 * quick().Lease); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		is.True(allSee(all, 3)) // no lease ends
	}
}
