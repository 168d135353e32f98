package node

import (
	"context"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/httpserve"
	"galenastair/membudget"
	"galenastair/peer/planning"
	"galenastair/platform"
	"galenastair/timer"
)

const (
	// readHeaderTimeout and idleTimeout are well above the operator's limits, so that no caller
	// within these limits is disconnected.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// readinessGrace is how long the store may be silent, beyond maxHintAge, while the instance
	// stays ready. After that the configuration is soon too old to accept any key, so callers
	// are better served by another instance.
	readinessGrace = time.Second
	// drainDelay is how long an instance still accepts requests after the signal to stop: the
	// load balancer probes every second and needs two failed probes. A longer delay would
	// leave long streams too little of StopTimeout.
	drainDelay = 2600 * time.Millisecond
	// shutdownMargin is reserved at the end of StopTimeout for the last steps.
	shutdownMargin = 300 * time.Millisecond
)

// callerPort is the name of the port whose connections are drained on shutdown.
const callerPort = "callers'"

func (n *Node) listen(ctx context.Context, g *run.Group) error {
	peers := http.NewServeMux()
	peers.Handle(planning.PathPrefix, planning.NewServer(n.peerServer()))
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{}))
	metrics.HandleFunc(StatusPath, n.serveStatus)
	callers := newServer(platform.NewHandler(n.gateway, n.catalogSource, n.stopping.Load, n.handlerOptions()...))
	n.callerConns.Track(callers)
	for _, p := range []struct {
		name    string
		address string
		server  *http.Server
	}{
		{callerPort, n.settings.CallerAddress, callers},
		{"ready", n.settings.ReadyAddress, newServer(platform.NewReadyHandler(n.ready))},
		{"peers'", n.settings.PeerAddress, newServer(n.peerHandler(peers))},
		{"metrics", n.settings.MetricsAddress, newServer(metrics)},
	} {
		l, err := httpserve.Listen(ctx, p.address, n.socketBufferBytes(p.name))
		if err != nil {
			return eris.Wrapf(err, "%s port: is %s in use, or not an address of this machine?", p.name, p.address)
		}
		if p.name == callerPort {
			l = n.overload.Listen(l)
		}
		served := httpserve.Add(g, p.server, l)
		if p.name == callerPort {
			n.callerListener, n.callerServerDone = l, served
		}
	}
	n.logger.Log("event", "listening", "callers", n.settings.CallerAddress, "peers", n.settings.PeerAddress, "metrics", n.settings.MetricsAddress)
	return nil
}

func (n *Node) handlerOptions() []platform.HandlerOption {
	return []platform.HandlerOption{platform.WithBudget(n.budget), platform.WithHandlerLogger(n.logger)}
}

// socketBufferBytes returns the size of the buffers of connections to a port, 0 for the kernel's.
func (n *Node) socketBufferBytes(port string) int {
	if n.budget == nil || port != callerPort {
		return 0
	}
	return membudget.SocketBuffer
}

// peerFetchTime is the time in which a new configuration arrives through another instance of the
// zone: three exchanges with the leader and one read of the store.
const peerFetchTime = 2500 * time.Millisecond

func (n *Node) peerServer() peerServer {
	t := peerServer{Planner: n.planner, directory: n.directory, versions: n.versions, topics: n.topics, elector: n.elector, accounts: n.accounts, streamOrigins: n.streams, permits: n.permits}
	if n.settings.Bounds.ApplyTimeout >= peerFetchTime+hintMargin {
		t.scheduler = &fetchScheduler{}
	}
	return t
}

// peerHandler returns the handler of the peers' port: requests that other instances forward, and calls.
func (n *Node) peerHandler(calls http.Handler) http.Handler {
	forwarded := n.forwarded.wrap(platform.NewForwardedHandler(n.gateway, n.catalogSource, n.stopping.Load, n.handlerOptions()...))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if platform.IsForwarded(r.Header) {
			forwarded.ServeHTTP(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// ready returns nil if the instance accepts new connections, and the reason otherwise.
func (n *Node) ready() error {
	current, _ := n.catalogSource.Current()
	silence, ok := n.catalogSource.follower.SinceAnswer()
	switch {
	case n.stopping.Load():
		return galenastair.ErrStopping
	case current == nil || !ok || silence > n.maxHintAge()+readinessGrace:
		return galenastair.ErrNoConfiguration
	default:
		return nil
	}
}

// shutdownOn waits for the signal to stop and shuts down in order: it reports not ready, still
// accepts requests until the load balancer has noticed, closes the callers' port, and waits for
// the requests in progress.
func (n *Node) shutdownOn(ctx context.Context) error {
	<-ctx.Done()
	n.stopping.Store(true)
	n.logger.Log("event", "stopping", "timeout", n.settings.Bounds.StopTimeout)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.settings.Bounds.StopTimeout-shutdownMargin)
	defer cancel()
	stopsAt, _ := ctx.Deadline()
	n.stopsAt.Store(&stopsAt)
	timer.Wait(ctx, drainDelay)
	n.draining.Store(true)
	if err := n.callerListener.Close(); err != nil {
		n.logger.Log("event", "callers' port", "err", err)
	}
	// otherwise Drain could miss a connection that is just being accepted, and cut it off
	select {
	case <-n.callerServerDone:
	case <-ctx.Done():
	}
	remaining := n.callerConns.Drain(ctx)
	n.forwarded.drain(ctx)
	n.logger.Log("event", "stopped", "left", remaining)
	return nil
}

// shutdownEnd returns when the requests in progress are cancelled, zero if the instance does not shut down.
func (n *Node) shutdownEnd() time.Time {
	if at := n.stopsAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
