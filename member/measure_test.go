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

// countedConn counts the bytes of one connection, both ways.
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

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// fleet is a number of instances over real connections, with the default timing.
type fleet struct {
	log   *fakeLog
	all   []*instance
	bytes atomic.Int64
}

func startFleet(t *testing.T, members, zones int) *fleet {
	f := &fleet{log: newFakeLog()}
	transport := func() *http.Transport {
		tr := newTransport()
		tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countedConn{c, &f.bytes}, err
		}
		return tr
	}
	for i := range members {
		f.all = append(f.all, startInstance(t, f.log, fmt.Sprint("i", i), i%zones, WithTiming(DefaultTiming()), WithTransport(transport)))
	}
	return f
}

// within waits up to two minutes and returns how long it took.
func within(t *testing.T, what string, ok func() bool) time.Duration {
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

// TestMeasure prints what membership costs and how long its changes take;
// MEMBER_MEASURE lists the numbers of members.
func TestMeasure(t *testing.T) {
	for _, word := range strings.Fields(os.Getenv("MEMBER_MEASURE")) {
		members, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(word, func(t *testing.T) { measure(t, members) })
	}
}

func measure(t *testing.T, members int) {
	f := startFleet(t, members, min(4, members))
	started := within(t, "all join", func() bool { return allSee(f.all, members) })
	time.Sleep(12 * time.Second) // news stops being told after ten seconds
	const window = 20 * time.Second
	bytes, cpu, appends := f.bytes.Load(), processorTime(), f.log.count()
	time.Sleep(window)
	perMember := func(total float64) float64 { return total / window.Seconds() / float64(members) }
	t.Logf("%d members: all joined %v; steady: %.0f B/s sent and received by a member, %.3f %% of a core, %d appends",
		members, started, 2*perMember(float64(f.bytes.Load()-bytes)),
		100*perMember((processorTime()-cpu).Seconds()), f.log.count()-appends)

	bytes = f.bytes.Load()
	now := time.Now()
	if err := f.all[0].Announce(t.Context(), "digest", time.Minute); err != nil {
		t.Fatal(err)
	}
	spread := within(t, "all refuse", func() bool {
		for _, in := range f.all {
			if !in.Status().Fleet.Refuses("digest", now) {
				return false
			}
		}
		return true
	})
	time.Sleep(12 * time.Second)
	t.Logf("%d members: a digest reached all in %v; %.0f B sent and received by a member in the 12 s after",
		members, spread, 2*float64(f.bytes.Load()-bytes)/float64(members))

	view := f.all[0].Status().View
	f.all[members-1].kill()
	rest := f.all[:members-1]
	declared := within(t, "a lapse", func() bool { return rest[0].Status().View.Epoch > view.Epoch })
	settled := within(t, "all settled", func() bool { return allSee(rest, members-1) })
	t.Logf("%d members: lapse declared %v after death, all takeovers allowed %v later", members, declared, settled)
	f.measureOutage(t, rest)
}

// measureOutage kills one more with the log down, once the members know that it is.
func (f *fleet) measureOutage(t *testing.T, rest []*instance) {
	f.log.setDown(true)
	time.Sleep(DefaultTiming().Contact + 2*followWait)
	rest[len(rest)-1].kill()
	rest = rest[:len(rest)-1]
	time.Sleep(30 * time.Second)
	held := 0
	for _, in := range rest {
		if in.Status().Holds(time.Now()) {
			held++
		}
	}
	f.log.setDown(false)
	back := within(t, "the dead is declared", func() bool { return allSee(rest, len(rest)) })
	t.Logf("log down and one dead: 30 s later %d of %d hold their leases; with the log back the ring was settled after %v", held, len(rest), back)
}
