package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/caller"
	"galenastair/claim"
	"galenastair/config"
	"galenastair/contract"
	"galenastair/logservice"
	"galenastair/settings"
	"galenastair/standin/engine"
	standin "galenastair/standin/platform"
)

const testKey = "gsk-himalbyte-1"

// testSite is an instance with a simulated platform and a simulated engine.
type testSite struct {
	t              *testing.T
	settings       settings.Settings
	platformServer *standin.Platform
	client         *logservice.Client
	stop           context.CancelFunc
	runErr         chan error
	// listeners are open for the addresses in the settings: a port that was only looked up could
	// be taken by another process before the instance listens on it.
	listeners map[string]net.Listener
}

// reserveAddress returns an address whose listener waits for the instance.
func (x *testSite) reserveAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { l.Close() })
	address := l.Addr().String()
	x.listeners[address] = l
	return address
}

// listen returns the reserved listener of an address, once.
func (x *testSite) listen(address string) (net.Listener, error) {
	l, reserved := x.listeners[address]
	if !reserved {
		return listenTCP(address)
	}
	delete(x.listeners, address)
	return l, nil
}

func newTestSite(t *testing.T) *testSite {
	ctx, cancel := context.WithCancel(context.Background())
	platformServer := standin.New()
	p := httptest.NewServer(platformServer.HandlerWithContext(ctx))
	address := p.Listener.Addr().String()
	s := settings.Default()
	s.Instance.AvailabilityZone = "zone-a"
	s.Platform.LogAddress, s.Platform.InstanceListAddress, s.Platform.WeightStoreAddress = address, address, address
	s.Platform.ListPeriod = 50 * time.Millisecond
	s.Stop.Notice = 300 * time.Millisecond
	x := &testSite{t: t, settings: s, platformServer: platformServer, client: logservice.New(address), runErr: make(chan error, 1), listeners: map[string]net.Listener{}}
	t.Cleanup(func() {
		cancel()
		p.Close()
	})
	x.assignInstance("entry-1")
	x.startEngine(ctx)
	x.publish()
	return x
}

// assignInstance sets the ID and the addresses of the next instance in the settings.
func (x *testSite) assignInstance(id galenastair.InstanceID) {
	in := &x.settings.Instance
	in.ID = id
	in.CallerAddress, in.OperatorAddress = x.reserveAddress(), x.reserveAddress()
	in.PeerAddress = x.reserveAddress()
	in.PeerListenAddress = in.PeerAddress
}

// startEngine starts and registers an engine that has model-1 loaded and takes 20 ms
// per token.
func (x *testSite) startEngine(ctx context.Context) {
	es := engine.DefaultSettings()
	es.BaseStep = 20 * time.Millisecond
	e := engine.New("engine-1", es)
	e.Preload(galenastair.ModelWeights{Name: "model-1", Version: "v1"})
	server := httptest.NewServer(e.Handler())
	ran, registered := make(chan error, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(ctx)
	go func() { ran <- e.Run(ctx) }()
	listed := galenastair.ListedInstance{
		ID: "engine-1", Role: galenastair.RoleEngine, Address: server.Listener.Addr().String(), AvailabilityZone: "zone-a",
	}
	go func() {
		registered <- x.client.Register(ctx, func() galenastair.ListedInstance { return listed }, func(error) {})
	}()
	x.t.Cleanup(func() {
		cancel()
		<-ran
		<-registered
		server.Close()
	})
}

func (x *testSite) publish() {
	is := is.New(x.t)
	p := config.NewPublisher(x.client)
	r, err := config.NewRecord(config.KindContractPublished, "test", config.ContractPublished{Contract: contract.Contract{
		Organisation: "Himalbyte", Rate: 30000, Burst: 90000, Models: []galenastair.ModelName{"model-1"},
		KeyHashes: []galenastair.KeyHash{galenastair.HashKey(testKey)},
	}})
	is.NoErr(err)
	v, err := p.Publish(x.t.Context(), r)
	is.NoErr(err)
	is.Equal(v.Outcome, config.Accepted)
}

func (x *testSite) start() *Entry {
	is := is.New(x.t)
	e, err := New(x.settings, WithListen(x.listen))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	// Read before the goroutine starts, since a test may start another instance meanwhile.
	runErr := x.runErr
	go func() { runErr <- e.Run(ctx) }()
	x.t.Cleanup(cancel)
	return e
}

// get returns the status and body of a path on the operators' port. The status is 0 if
// the port does not respond.
func (x *testSite) get(path string) (int, string) {
	resp, err := http.Get("http://" + x.settings.Instance.OperatorAddress + path)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// waitUntil polls holds until it returns true, and fails the test after 15 s. An instance
// has to join and to read its configuration before it serves requests.
func (x *testSite) waitUntil(what string, holds func() bool) {
	x.t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			_, status := x.get("/status")
			x.t.Fatalf("timed out after 15 s: %s\n%s", what, status)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (x *testSite) complete(tokens galenastair.Tokens) (caller.Response, error) {
	return caller.Send(x.t.Context(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, caller.Request{
		Address: x.settings.Instance.CallerAddress, Key: testKey, Model: "model-1", Text: "hello", MaxTokens: tokens, Stream: true,
	})
}

// An instance is stopped while a response is streamed, and the load balancer still sends
// requests for a moment. No request may be interrupted or refused, /readyz must fail at
// once, the platform's list must show the instance as leaving, and the process must exit
// without an error after the last response. The test fails without the notice period (a
// request is refused), if the server is closed without draining (the stream is
// interrupted), if Ready ignores the shutdown, or if registration does not set Leaving.
func TestGracefulShutdown(t *testing.T) {
	is := is.New(t)
	x := newTestSite(t)
	x.start()
	x.waitUntil("the instance is ready", func() bool { status, _ := x.get("/readyz"); return status == http.StatusOK })
	x.waitUntil("a request is served", func() bool { r, err := x.complete(1); return err == nil && r.Complete })

	long := make(chan caller.Response, 1)
	go func() {
		r, _ := x.complete(60)
		long <- r
	}()
	x.waitUntil("the long request is in flight", func() bool { _, s := x.get("/status"); return strings.Contains(s, `"Requests":1`) })
	x.stop()
	x.waitUntil("/readyz reports that the instance is stopping", func() bool {
		status, text := x.get("/readyz")
		return status == 503 && strings.Contains(text, "stopping")
	})
	r, err := x.complete(1)
	is.NoErr(err)
	is.True(r.Complete)
	leaving := func() bool {
		listed, err := x.client.List(t.Context())
		for _, l := range listed {
			if l.ID == "entry-1" {
				return l.Leaving
			}
		}
		return err != nil
	}
	x.waitUntil("the list shows the instance as leaving", leaving)
	r = <-long
	is.True(r.Complete)
	is.NoErr(<-x.runErr)
	_, err = x.complete(1)
	is.True(err != nil)
}

// /status must include engine reports and members, and /metrics the finished requests.
// Neither may show an API key. The test fails without addReport or addMembers, or if the
// request server has no recorder.
func TestStatusAndMetrics(t *testing.T) {
	is := is.New(t)
	x := newTestSite(t)
	x.start()
	x.waitUntil("a request is served", func() bool { r, err := x.complete(1); return err == nil && r.Complete })
	x.waitUntil("the engine's report has arrived", func() bool { _, s := x.get("/status"); return strings.Contains(s, `"Ready":["model-1"]`) })
	_, status := x.get("/status")
	for _, part := range []string{`"Instance":"entry-1"`, `"HoldsLease":true`, `"Leader":"entry-1"`, `"Ready":true`, `"PeerAddress":"` + x.settings.Instance.PeerAddress} {
		is.True(strings.Contains(status, part))
	}
	_, metrics := x.get("/metrics")
	is.True(strings.Contains(metrics, `galenastair_requests_total{code="",organisation="Himalbyte",outcome="Ran"} 1`))
	is.True(!strings.Contains(metrics+status, testKey))
	x.stop()
	is.NoErr(<-x.runErr)
}

// If a port is in use, the start must fail with an error that names the port and the
// address. The test fails if the listen error is returned as it is.
func TestPortInUse(t *testing.T) {
	is := is.New(t)
	x := newTestSite(t)
	// the reserved listener keeps the port, but is not handed over
	delete(x.listeners, x.settings.Instance.PeerAddress)
	x.start()
	err := <-x.runErr
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "peers' port: is "+x.settings.Instance.PeerAddress))
	is.True(!errors.Is(err, context.Canceled))
}

// A request that crashes engines is sent through one instance, then through another. If
// each instance counted only its own crashes, the second crash would count as the first,
// and the request would crash more engines. RecordCrash must report crashes to all
// members and count those of others, and Allow must check both.
func TestInstancesShareCrashCounts(t *testing.T) {
	is := is.New(t)
	x := newTestSite(t)
	first := x.start()
	x.waitUntil("the first is ready", func() bool { return first.Ready() == nil })
	firstEnded, stopFirst := x.runErr, x.stop
	x.runErr = make(chan error, 1)
	x.assignInstance("entry-2")
	second := x.start()
	x.waitUntil("both are members", func() bool {
		return len(first.members.Status().View.Ring) == 2 && len(second.members.Status().View.Ring) == 2 && second.Ready() == nil
	})
	d := claim.DigestOf("Furnir", "model-1", []byte("poison"))
	one, two := poisonTracker{claim.NewPoisonTracker(nil), first.members}, poisonTracker{claim.NewPoisonTracker(nil), second.members}
	now := time.Now()
	is.True(one.RecordCrash(now, claim.Crash{Digest: d}))
	x.waitUntil("the second has received the crash", func() bool { return second.members.Status().Fleet.Refuses(firstCrashKey(d), now) })
	is.NoErr(two.Allow(now, d))
	is.True(!two.RecordCrash(now, claim.Crash{Digest: d}))
	x.waitUntil("the first refuses the request", func() bool { return errors.Is(one.Allow(now, d), galenastair.ErrPoisonRequest) })
	is.NoErr(one.Allow(now, claim.DigestOf("Furnir", "model-1", []byte("other"))))
	x.stop()
	is.NoErr(<-x.runErr)
	stopFirst()
	is.NoErr(<-firstEnded)
}

// While the platform's instance list is unavailable, the last list must stay in use and
// requests must be served. An error must not be taken for an empty list.
func TestLastListIsKeptDuringOutage(t *testing.T) {
	is := is.New(t)
	x := newTestSite(t)
	e := x.start()
	x.waitUntil("a request is served", func() bool { r, err := x.complete(1); return err == nil && r.Complete })
	x.platformServer.UpdateFaults(func(s *standin.Faults) { s.ListOutage = true })
	x.waitUntil("the list is unavailable", func() bool { _, err := x.client.List(t.Context()); return err != nil })
	e.refreshInstances(t.Context())
	is.Equal(len(e.fleet.engineServers()), 1)
	r, err := x.complete(1)
	is.NoErr(err)
	is.True(r.Complete)
	x.stop()
	is.NoErr(<-x.runErr)
}
