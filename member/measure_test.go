package member

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// countedConn counts the bytes that a connection reads and writes.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// testCluster is a set of instances that use real connections and the default timing.
type testCluster struct {
	log       *fakeLog
	instances []*instance
	bytes     atomic.Int64
}

func startCluster(t *testing.T, members, zones int) *testCluster {
	f := &testCluster{log: newFakeLog()}
	transport := func() *http.Transport {
		tr := newTransport()
		tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countedConn{c, &f.bytes}, err
		}
		return tr
	}
	for i := range members {
		f.instances = append(f.instances, startInstance(t, f.log, fmt.Sprint("i", i), i%zones, WithTiming(DefaultTiming()), WithTransport(transport)))
	}
	return f
}

// waitFor waits up to two minutes for a condition and returns how long it took.
func waitFor(t *testing.T, what string, ok func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > 2*time.Minute {
			t.Fatalf("not within two minutes: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began).Round(10 * time.Millisecond)
}

// TestMeasureCosts logs the costs of membership and the duration of its changes, for each number of
// members listed in MEMBER_MEASURE.
func TestMeasureCosts(t *testing.T) {
	for _, word := range strings.Fields(os.Getenv("MEMBER_MEASURE")) {
		members, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(word, func(t *testing.T) { measure(t, members) })
	}
}

func measure(t *testing.T, members int) {
	f := startCluster(t, members, min(4, members))
	started := waitFor(t, "all instances joined", func() bool { return allSee(f.instances, members) })
	time.Sleep(12 * time.Second) // longer than GossipDuration
	const window = 20 * time.Second
	bytes, cpu, appends := f.bytes.Load(), cpuTime(), f.log.count()
	time.Sleep(window)
	perMember := func(total float64) float64 { return total / window.Seconds() / float64(members) }
	t.Logf("%d members: all joined %v; steady: %.0f B/s sent and received by a member, %.3f %% of a core, %d appends",
		members, started, 2*perMember(float64(f.bytes.Load()-bytes)),
		100*perMember((cpuTime()-cpu).Seconds()), f.log.count()-appends)

	bytes = f.bytes.Load()
	now := time.Now()
	if err := f.instances[0].RefuseDigest(t.Context(), "digest", time.Minute); err != nil {
		t.Fatal(err)
	}
	spread := waitFor(t, "all members refuse the digest", func() bool {
		for _, in := range f.instances {
			if !in.Status().Fleet.Refuses("digest", now) {
				return false
			}
		}
		return true
	})
	time.Sleep(12 * time.Second)
	t.Logf("%d members: a digest reached all in %v; %.0f B sent and received by a member in the 12 s after",
		members, spread, 2*float64(f.bytes.Load()-bytes)/float64(members))

	view := f.instances[0].Status().View
	f.instances[members-1].kill()
	rest := f.instances[:members-1]
	declared := waitFor(t, "a member is declared lapsed", func() bool { return rest[0].Status().View.Epoch > view.Epoch })
	converged := waitFor(t, "all members converged", func() bool { return allSee(rest, members-1) })
	t.Logf("%d members: lapse declared %v after death, all takeovers allowed %v after that", members, declared, converged)
	f.measureOutage(t, rest)
}

// measureOutage kills another member while the log is down, once the members have noticed the outage.
func (f *testCluster) measureOutage(t *testing.T, rest []*instance) {
	f.log.setDown(true)
	time.Sleep(DefaultTiming().LogContactMaxAge + 2*readWait)
	rest[len(rest)-1].kill()
	rest = rest[:len(rest)-1]
	time.Sleep(30 * time.Second)
	held := 0
	for _, in := range rest {
		if in.Status().HoldsLease(time.Now()) {
			held++
		}
	}
	f.log.setDown(false)
	back := waitFor(t, "the dead member is declared lapsed", func() bool { return allSee(rest, len(rest)) })
	t.Logf("log down and one member dead: after 30 s, %d of %d hold their leases; ring converged %v after the log was back", held, len(rest), back)
}
