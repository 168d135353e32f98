package lease_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/lease"
	"galenastair/platform"
	"galenastair/standin/metastore"
)

const minOrderInterval = 3 * time.Second

// fakeCheckpointer records what one instance writes and reads.
type fakeCheckpointer struct {
	mu      sync.Mutex
	next    string
	written []string
	read    []string
	first   []bool
}

func (n *fakeCheckpointer) set(next string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next = next
}

func (n *fakeCheckpointer) calls() (written, read []string, first []bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.written, n.read, n.first
}

func (n *fakeCheckpointer) option() lease.Option { return n.optionFor(platform.CheckpointTopic, false) }

func (n *fakeCheckpointer) everyStart() lease.Option { return n.optionFor(platform.VersionTopic, true) }

func (n *fakeCheckpointer) optionFor(topic galenastair.Topic, everyStart bool) lease.Option {
	return lease.WithCheckpointer(lease.Checkpointer{
		Topic:      topic,
		EveryStart: everyStart,
		Checkpoint: func() []byte {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.next == "" {
				return nil
			}
			return []byte(n.next)
		},
		Stored: func(b []byte) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.written = append(n.written, string(b))
		},
		Restore: func(b []byte, first bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.read, n.first = append(n.read, string(b)), append(n.first, first)
		},
	})
}

// startElector runs an elector until the returned function is called.
func startElector(t *testing.T, address, member string, n *fakeCheckpointer, opts ...lease.Option) func() {
	t.Helper()
	k := lease.NewElector(platform.NewStore(address), platform.LeaseTopic, lease.New(lease.DefaultTiming(minOrderInterval, true)), member, append(opts, n.option())...)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()
	<-k.Started()
	return sync.OnceFunc(func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

func startStore(t *testing.T) (*metastore.Store, string) {
	t.Helper()
	s := metastore.New()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return s, server.Listener.Addr().String()
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 800 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not seen: " + what)
}

// A leader stores a checkpoint, and all instances restart. The next process of each instance reads
// the checkpoint as its first user. A further process of the same instance, started right after,
// is told that it is not the first.
func TestCheckpointIsFirstOnlyOnce(t *testing.T) {
	is := is.New(t)
	_, address := startStore(t)
	leader := &fakeCheckpointer{}
	stop := startElector(t, address, "one", leader)
	leader.set("six instances")
	waitFor(t, "the checkpoint", func() bool { w, _, _ := leader.calls(); return len(w) == 1 })
	stop()
	for _, want := range []bool{true, false} {
		n := &fakeCheckpointer{}
		stop := startElector(t, address, "one", n)
		_, read, first := n.calls()
		stop()
		is.True(len(read) > 0)
		is.Equal(read[0], "six instances")
		is.Equal(first[0], want)
	}
	other := &fakeCheckpointer{}
	defer startElector(t, address, "two", other)()
	_, _, first := other.calls()
	is.True(first[0])
}

// The answer to a write is lost although the write succeeds, and then a write is refused. Each
// write is repeated under the same sequence number, which the store accepts once, and only then a
// newer checkpoint is written. If the number increased before the answer, the store would refuse
// all further checkpoints.
func TestLostAnswerToACheckpointWrite(t *testing.T) {
	is := is.New(t)
	s, address := startStore(t)
	n := &fakeCheckpointer{}
	defer startElector(t, address, "one", n)()
	n.set("first")
	waitFor(t, "the first checkpoint", func() bool { w, _, _ := n.calls(); return len(w) == 1 })
	appends := s.CallCount("/v1/log-append?keyed.note")
	s.UpdateFaults(func(sw *metastore.Faults) { sw.DropResponses, sw.OnlyPath = true, "/v1/log-append" })
	n.set("second")
	waitFor(t, "a write without an answer", func() bool { return s.CallCount("/v1/log-append?keyed.note") > appends })
	n.set("third")
	s.UpdateFaults(func(sw *metastore.Faults) { sw.DropResponses = false })
	waitFor(t, "the third checkpoint", func() bool { w, _, _ := n.calls(); return len(w) == 3 })
	appends = s.CallCount("/v1/log-append?keyed.note")
	s.UpdateFaults(func(sw *metastore.Faults) { sw.Refuse = true })
	n.set("fourth")
	waitFor(t, "a refused write", func() bool { return s.CallCount("/v1/log-append?keyed.note") > appends })
	s.UpdateFaults(func(sw *metastore.Faults) { sw.Refuse = false })
	waitFor(t, "the fourth checkpoint", func() bool { w, _, _ := n.calls(); return len(w) == 4 })
	w, _, _ := n.calls()
	is.Equal(w, []string{"first", "second", "third", "fourth"})
}

// Guards against a second state that a starting process of a large fleet does not read, or that counts as
// used once.
func TestEveryStartRestoresACheckpointOfAnyFleet(t *testing.T) {
	is := is.New(t)
	_, address := startStore(t)
	large := lease.WithFleetSize(func() int { return lease.MaxRestoreFleet + 1 })
	leader, second := &fakeCheckpointer{}, &fakeCheckpointer{}
	leader.set("quotas")
	second.set("versions")
	stop := startElector(t, address, "one", leader, large, second.everyStart())
	waitFor(t, "the checkpoints", func() bool {
		a, _, _ := leader.calls()
		b, _, _ := second.calls()
		return len(a) == 1 && len(b) == 1
	})
	stop()
	n, every := &fakeCheckpointer{}, &fakeCheckpointer{}
	defer startElector(t, address, "two", n, large, every.everyStart())()
	_, read, first := every.calls()
	is.Equal(read[0], "versions")
	is.True(!first[0])
}
