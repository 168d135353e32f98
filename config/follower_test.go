package config

import (
	"context"
	"errors"
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"galenastair"
)

// TestMain fixes the seed of the property tests, so that CI is deterministic; -rapid.seed
// overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// startFollower runs a follower until the test ends.
func startFollower(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("follower ended with %v", err)
		}
	})
}

// waitForView waits for a view that includes all records before an offset.
func waitForView(t *testing.T, f *Follower, next galenastair.Offset) *View {
	t.Helper()
	deadline := time.After(10 * time.Second)
	for {
		v := f.View()
		if v != nil && v.Offset() >= next {
			return v
		}
		var superseded <-chan struct{}
		if v != nil {
			superseded = v.Superseded()
		}
		select {
		case <-superseded:
		case <-time.After(5 * time.Millisecond):
		case <-deadline:
			t.Fatalf("no view of offset %d", next)
		}
	}
}

// Guards against a response stream that keeps running after its key was withdrawn: the
// stream ends only if it is notified that its view was superseded.
// Fails if publish does not close the channel.
func TestFollowerClosesSupersededViews(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	l.add(testRecord("a", KindContractPublished, ContractPublished{Contract: testContract("A", testKey(1))}))
	f := NewFollower(l)
	is.True(!f.Ready())
	startFollower(t, f)
	v := waitForView(t, f, 2)
	k, found := v.LookupKey(testKey(1))
	is.True(found && k.Organisation == "A" && k.Contract.PermitsModel("m2"))
	is.True(f.Ready() && !f.LogContact().IsZero())
	l.add(testRecord("b", KindKeyWithdrawn, KeyWithdrawn{KeyHash: testKey(1)}))
	select {
	case <-v.Superseded():
	case <-time.After(10 * time.Second):
		t.Fatal("view was not superseded")
	}
	k, found = f.View().LookupKey(testKey(1))
	is.True(found && k.Withdrawn)
	_, found = v.LookupKey(testKey(1))
	is.True(found) // the old view is immutable
}

// An instance that starts reads a long stream in several batches. A view published after
// the first batch would accept a key that is withdrawn in a later one.
// Fails if poll publishes before it has caught up.
func TestNoViewWhileCatchingUp(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	l.maxBatch = 2
	publishContracts(l, 3)
	f := NewFollower(l)
	is.NoErr(f.poll(t.Context()))
	is.True(!f.Ready())
	is.NoErr(f.poll(t.Context()))
	is.True(f.Ready())
}

// pollTimeoutLog records the poll timeouts of reads.
type pollTimeoutLog struct {
	*fakeLog
	timeouts []time.Duration
}

func (l *pollTimeoutLog) Read(ctx context.Context, s galenastair.Stream, from galenastair.Offset, wait time.Duration) (galenastair.Batch, error) {
	l.timeouts = append(l.timeouts, wait)
	return l.fakeLog.Read(ctx, s, from, 0)
}

// The log accepts connections but does not respond. If reads kept waiting for new records,
// a withdrawal that a peer has read would be delayed by every read that times out.
// Fails if poll ignores lastReadFailed.
func TestNoPollTimeoutAfterFailedRead(t *testing.T) {
	is := is.New(t)
	l := &pollTimeoutLog{fakeLog: newFakeLog()}
	f := NewFollower(l, WithFleetSize(func() int { return 370 }))
	is.NoErr(f.poll(t.Context()))
	is.NoErr(f.poll(t.Context()))
	l.setDown(true)
	is.True(f.poll(t.Context()) != nil)
	is.True(f.poll(t.Context()) != nil)
	l.setDown(false)
	is.NoErr(f.poll(t.Context()))
	is.NoErr(f.poll(t.Context()))
	long := 3700 * time.Millisecond
	is.Equal(l.timeouts, []time.Duration{0, long, long, 0, 0, long})
}

// An instance was not upgraded before the rules version was raised. It must not serve,
// since its configuration would differ from that of the other instances.
// Fails if Ready ignores halted.
func TestUnsupportedRulesHaltFollower(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	publishContracts(l, 1)
	l.add(testRecord("junk", "Later", 1))
	f := NewFollower(l)
	is.NoErr(f.poll(t.Context()))
	is.Equal(f.View().SkippedCount(UnknownKind), int64(1))
	l.add(testRecord("rules", KindRulesRaised, RulesRaised{Version: maxRulesVersion + 1}))
	l.add(testRecord("x", KindKeyWithdrawn, KeyWithdrawn{KeyHash: testKey(1)}))
	for range 2 {
		is.True(errors.Is(f.poll(t.Context()), ErrNewerRules))
		is.True(!f.Ready())
		is.Equal(f.View().Offset(), galenastair.Offset(3))
	}
}
