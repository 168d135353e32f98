package report

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"galenastair"
)

// countingListener counts the bytes read and written on its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

type pairAssignment struct {
	self    galenastair.Peer
	members []galenastair.Peer
}

func (a pairAssignment) Self() galenastair.Peer      { return a.self }
func (a pairAssignment) Members() []galenastair.Peer { return a.members }
func (a pairAssignment) Epoch() galenastair.Epoch    { return 1 }
func (a pairAssignment) Poller(galenastair.BackendServerID) (galenastair.Peer, bool) {
	return a.members[0], true
}

type busyEngine struct{ running atomic.Int64 }

func (e *busyEngine) Report(context.Context, string) (galenastair.EngineReport, error) {
	return galenastair.EngineReport{
		BackendServer: "e1",
		Running:       int(e.running.Add(10)),
		Loaded:        []galenastair.LoadedWeights{loadedModel(1)},
	}, nil
}

// unreachableEngine simulates an engine that the instance can't connect to.
type unreachableEngine struct{}

func (unreachableEngine) Report(context.Context, string) (galenastair.EngineReport, error) {
	return galenastair.EngineReport{}, galenastair.ErrNotSent
}

// The poller sends its updates to the other instance over HTTP, and a message is about as
// large as messageOverheadBytes, from which the interval of rounds is computed.
func TestReporterSendsOverHTTP(t *testing.T) {
	is := is.New(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	var bytes atomic.Int64
	var handlers [2]atomic.Pointer[Reporter]
	var peers []galenastair.Peer
	for i, id := range []galenastair.InstanceID{"i1", "i2"} {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handlers[i].Load().Handler().ServeHTTP(w, r)
		}))
		server.Listener = countingListener{server.Listener, &bytes}
		server.Start()
		defer server.Close()
		peers = append(peers, galenastair.Peer{ID: id, Address: server.Listener.Addr().String()})
	}
	delivered := make(chan galenastair.EngineReport, 1000)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	for i, engine := range []EngineClient{&busyEngine{}, unreachableEngine{}} {
		r := New(Dependencies{
			Engine:     engine,
			Assignment: func() Assignment { return pairAssignment{peers[i], peers} },
			Servers:    func() []Server { return []Server{{ID: "e1"}} },
			Deliver: func(rep galenastair.EngineReport) {
				if i == 1 {
					delivered <- rep
				}
			},
		}, WithMinInterval(20*time.Millisecond))
		handlers[i].Store(r)
		go func() { ended <- r.Run(ctx) }()
	}
	const messages = 3
	for range messages {
		rep := <-delivered
		is.Equal(rep.BackendServer, galenastair.BackendServerID("e1"))
		is.Equal(len(rep.Loaded), 1)
		is.True(rep.Running > 0)
	}
	each := bytes.Load() / messages
	t.Logf("%d bytes a message", each)
	is.True(each < messageOverheadBytes+200) // two of the messages have the state
	cancel()
	<-ended
	<-ended
}
