package entry

import (
	"context"
	"net"
	"net/http"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"galenastair/caller"
	"galenastair/httpserve"
	"galenastair/operator"
	"galenastair/timer"
)

// listener is a port of the instance and its HTTP server.
type listener struct {
	name   string
	server *http.Server
	ln     net.Listener
}

func (e *Entry) listenOn(name, address string, h http.Handler) (*listener, error) {
	l, err := e.openListener(address)
	if err != nil {
		return nil, eris.Wrapf(err, "%s port: is %s in use, or not an address of this machine?", name, address)
	}
	server := &http.Server{
		Handler:           h,
		MaxHeaderBytes:    e.settings.Callers.MaxHeaderBytes,
		ReadHeaderTimeout: e.settings.Callers.ReadHeaderTimeout,
		// Connections that a caller has abandoned are closed to free their memory.
		IdleTimeout: 2 * e.settings.Callers.RequestTimeout,
	}
	return &listener{name, server, l}, nil
}

func (e *Entry) listen(g *run.Group) error {
	callers, err := e.listenOn("callers'", e.settings.Instance.CallerAddress, e.closeWhenStopping(caller.NewHandler(e.server, caller.WithLimits(e.settings.Callers))))
	if err != nil {
		return err
	}
	peers, err := e.listenOn("peers'", e.settings.Instance.PeerListenAddress, e.peerHandler())
	if err != nil {
		return err
	}
	operators, err := e.listenOn("operators'", e.settings.Instance.OperatorAddress, operator.NewHandler(e, e.metrics))
	if err != nil {
		return err
	}
	e.conns.Track(callers.server)
	e.callerListener = callers.ln
	e.callerServeDone = httpserve.Add(g, callers.server, callers.ln)
	httpserve.Add(g, peers.server, peers.ln)
	httpserve.Add(g, operators.server, operators.ln)
	e.logger.Log("event", "listening", "callers", e.settings.Instance.CallerAddress, "peers", e.settings.Instance.PeerListenAddress, "operators", e.settings.Instance.OperatorAddress)
	return nil
}

// gracefulShutdown waits for ctx to be done, then shuts down in order: it marks the
// instance as leaving in the platform's list, keeps serving until the load balancer
// has had time to react, waits for the requests in flight, and then leaves the
// membership.
func (e *Entry) gracefulShutdown(ctx context.Context) error {
	<-ctx.Done()
	e.shutdown.start()
	s := e.settings.Stop
	e.logger.Log("event", "stopping", "notice", s.Notice, "timeout", s.Timeout, "requests", e.server.Active().Len())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Notice+s.Timeout)
	defer cancel()
	// The load balancer needs this time to notice that the instance is leaving. It
	// is not shortened when no request is in flight, since a load balancer that has
	// not noticed yet may still send one.
	timer.Wait(ctx, s.Notice)
	err := e.callerListener.Close()
	// Without this wait, Drain could miss a connection that is just being accepted, and
	// that connection would be closed with its request.
	select {
	case <-e.callerServeDone:
	case <-ctx.Done():
	}
	left := e.conns.Drain(ctx)
	// The lease is released only now, because requests in flight need it.
	if err := e.members.Leave(ctx); err != nil {
		e.logger.Log("event", "leave", "err", err)
	}
	e.logger.Log("event", "stopped", "requests", e.server.Active().Len(), "left", left, "err", err)
	return err
}
