package config

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"galenastair"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs a follower until the test ends.
func start(t *testing.T, f *Follower) {
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

// until waits for a view that holds all records before an offset.
func until(t *testing.T, f *Follower, next galenastair.Offset) *View {
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

// A key is withdrawn while one of its streams runs. The caller would go on
// reading if nothing told the stream that its view was superseded.
func TestFollowerPublishesNewerViews(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	l.add(testRecord("a", KindContractPublished, ContractPublished{Contract: testContract("A", testKey(1))}))
	f := NewFollower(l)
	is.True(!f.Ready())
	start(t, f)
	v := until(t, f, 2)
	k, found := v.ByKey(testKey(1))
	is.True(found && k.Organisation == "A" && k.Contract.PermitsModel("m2"))
	is.True(f.Ready() && !f.LogContact().IsZero())
	l.add(testRecord("b", KindKeyWithdrawn, KeyWithdrawn{KeyHash: testKey(1)}))
	<-v.Superseded()
	k, found = f.View().ByKey(testKey(1))
	is.True(found && k.Withdrawn)
	_, found = v.ByKey(testKey(1))
	is.True(found) // the old view is unchanged
}
