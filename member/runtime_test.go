package member

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/control"
)

// fastTiming is DefaultTiming scaled to a tenth, to keep tests in real time short.
func fastTiming() Timing {
	t := DefaultTiming()
	for _, d := range []*time.Duration{
		&t.HeartbeatInterval, &t.CallTimeout, &t.LeaseDuration, &t.GrantDuration, &t.OutageLeaseDuration, &t.RenewAfter, &t.AppendRetryInterval, &t.DeadAfter, &t.ProbeInterval, &t.GossipDuration,
	} {
		*d /= 10
	}
	return t
}

// instance is a runtime with its control loop and HTTP server.
type instance struct {
	*Runtime
	server *httptest.Server
	cancel context.CancelFunc
	ended  chan error
}

func startInstance(t *testing.T, l galenastair.Log, name string, zone int, opts ...Option) *instance {
	t.Helper()
	return startInstanceAt(t, "127.0.0.1:0", l, name, zone, opts...)
}

func startInstanceAt(t *testing.T, at string, l galenastair.Log, name string, zone int, opts ...Option) *instance {
	t.Helper()
	listener, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	loop := control.NewLoop()
	in := &instance{server: httptest.NewUnstartedServer(nil), ended: make(chan error, 2)}
	_ = in.server.Listener.Close()
	in.server.Listener = listener
	address := listener.Addr().String()
	opts = append([]Option{
		WithInstance(galenastair.InstanceID(name), galenastair.AvailabilityZone(fmt.Sprint("z", zone)), address),
		WithRegion("here"), WithLoop(loop), WithTiming(fastTiming()),
	}, opts...)
	in.Runtime = New(l, opts...)
	in.server.Config.Handler = in.Handler()
	in.server.Start()
	ctx, cancel := context.WithCancel(t.Context())
	in.cancel = cancel
	go func() { in.ended <- loop.Run(ctx) }()
	go func() { in.ended <- in.Run(ctx) }()
	t.Cleanup(in.kill)
	return in
}

// kill ends an instance abruptly, as kill -9 does.
func (in *instance) kill() {
	if in.cancel == nil {
		return
	}
	in.cancel()
	in.cancel = nil
	<-in.ended
	<-in.ended
	in.server.CloseClientConnections()
	in.server.Close()
}

// eventually waits up to 10 s of real time for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("not within 10 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (in *instance) members() int {
	s := in.Status()
	if !s.HoldsLease(time.Now()) {
		return 0
	}
	return len(s.View.Ring)
}

func TestSingleInstanceBootstraps(t *testing.T) {
	is := is.New(t)
	a := startInstance(t, newFakeLog(), "a", 1)
	eventually(t, "a starts a ring", func() bool { return a.members() == 1 })
	s, now := a.Status(), time.Now()
	is.True(s.Leads(now))
	is.True(s.Serves("any", 0, now))
	is.True(!s.Serves("any", 1, now)) // a ring of one member has one slot
	is.NoErr(a.Leave(t.Context()))
	is.True(!a.Status().HoldsLease(time.Now()))
	a.cancel()
	is.True(errors.Is(<-a.ended, context.Canceled))
	is.True(errors.Is(<-a.ended, context.Canceled))
	a.cancel = nil
	a.server.Close()
}
