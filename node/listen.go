package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/httpserve"
	"galenastair/peer/planning"
	"galenastair/platform"
	"galenastair/timer"
)

const (
	// headerTimeout and idleTimeout towards callers are well above what the operator's
	// limits allow, so that a caller within them is never cut.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	headerBytes   = 64 << 10
	// readySlack is how long beyond the time at which this instance asks the store itself the
	// store may give no answer while new connections are welcome. After it the view soon is
	// too old to admit a key, and callers are better served elsewhere.
	readySlack = time.Second
	// notice is how long an instance that has been told to stop still takes requests:
	// the balancer asks each second and goes by two answers. Taking them for longer
	// would leave long streams too little of the time to stop.
	notice = 2600 * time.Millisecond
	// stopMargin is kept of the time to stop for the last steps.
	stopMargin = 300 * time.Millisecond
)

// callersPort names the port whose connections a stop closes with care.
const callersPort = "callers'"

func (n *Node) listen(g *run.Group) error {
	peers := http.NewServeMux()
	peers.Handle(planning.PathPrefix, planning.NewServer(n.peerServer()))
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{}))
	metrics.HandleFunc(StatusPath, n.serveStatus)
	callers := newServer(platform.NewHandler(n.gateway, n.views, n.stopping.Load))
	n.conns.Watch(callers)
	for _, p := range []struct {
		name    string
		address string
		server  *http.Server
	}{
		{callersPort, n.settings.CallerAddress, callers},
		{"ready", n.settings.ReadyAddress, newServer(platform.NewReadyHandler(n.ready))},
		{"peers'", n.settings.PeerAddress, newServer(peers)},
		{"metrics", n.settings.MetricsAddress, newServer(metrics)},
	} {
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			return eris.Wrapf(err, "%s port: is %s in use, or not an address of this machine?", p.name, p.address)
		}
		served := httpserve.Add(g, p.server, l)
		if p.name == callersPort {
			n.callers, n.callersServed = l, served
		}
	}
	n.logger.Log("event", "listening", "callers", n.settings.CallerAddress, "peers", n.settings.PeerAddress, "metrics", n.settings.MetricsAddress)
	return nil
}

// directTime is what a new configuration takes to arrive by way of another instance of the
// zone: three exchanges and a reading.
const directTime = 2500 * time.Millisecond

func (n *Node) peerServer() peerServer {
	t := peerServer{Planner: n.planner, topics: n.topics, elector: n.elector, accounts: n.accounts}
	if n.settings.Bounds.ApplyTimeout >= directTime+hintMargin {
		t.sources = &sources{}
	}
	return t
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes}
}

// ready returns nil if new connections are welcome, else why not.
func (n *Node) ready() error {
	view, _ := n.views.View()
	silence, ok := n.views.follower.Silence()
	switch {
	case n.stopping.Load():
		return galenastair.ErrStopping
	case view == nil || !ok || silence > n.hintLife()+readySlack:
		return galenastair.ErrConfiguration
	default:
		return nil
	}
}

// stopOn waits for the signal to stop, then stops in order: unready at once, taking
// what still comes while the balancer looks away, then no new connections, then the
// end of what is under way.
func (n *Node) stopOn(ctx context.Context) error {
	<-ctx.Done()
	n.stopping.Store(true)
	n.logger.Log("event", "stopping", "timeout", n.settings.Bounds.StopTimeout)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.settings.Bounds.StopTimeout-stopMargin)
	defer cancel()
	timer.Wait(ctx, notice)
	n.closing.Store(true)
	if err := n.callers.Close(); err != nil {
		n.logger.Log("event", "callers' port", "err", err)
	}
	// a connection that was just being accepted would be missed, and cut at the end
	select {
	case <-n.callersServed:
	case <-ctx.Done():
	}
	left := n.conns.Drain(ctx)
	n.logger.Log("event", "stopped", "left", left)
	return nil
}
