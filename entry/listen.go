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

// listener is one of the instance's ports.
type listener struct {
	name   string
	server *http.Server
	net    net.Listener
}

func (e *Entry) listenOn(name, address string, h http.Handler) (*listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "%s port: is %s in use, or not an address of this machine?", name, address)
	}
	server := &http.Server{
		Handler:           h,
		MaxHeaderBytes:    e.settings.Callers.HeaderBytes,
		ReadHeaderTimeout: e.settings.Callers.ReadHeader,
		// a connection that a caller has lost track of frees its memory in the end
		IdleTimeout: 2 * e.settings.Callers.Request,
	}
	return &listener{name, server, l}, nil
}

func (e *Entry) listen(g *run.Group) error {
	callers, err := e.listenOn("callers'", e.settings.Instance.CallerAddress, e.sayClose(caller.NewHandler(e.server, caller.WithLimits(e.settings.Callers))))
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
	e.conns.Watch(callers.server)
	e.callers = callers.net
	e.callersServed = httpserve.Add(g, callers.server, callers.net)
	httpserve.Add(g, peers.server, peers.net)
	httpserve.Add(g, operators.server, operators.net)
	e.logger.Log("event", "listening", "callers", e.settings.Instance.CallerAddress, "peers", e.settings.Instance.PeerListenAddress, "operators", e.settings.Instance.OperatorAddress)
	return nil
}

// stopOn waits for the signal to stop, then stops in order: tell the platform,
// so that the balancer sends no more; go on serving meanwhile; let the requests
// under way end; only then leave.
func (e *Entry) stopOn(ctx context.Context) error {
	<-ctx.Done()
	e.stopping.begin()
	s := e.settings.Stop
	e.logger.Log("event", "stopping", "notice", s.Notice, "timeout", s.Timeout, "requests", e.server.Active().Len())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Notice+s.Timeout)
	defer cancel()
	// the balancer's time to see that this instance is leaving. It is not cut short
	// when no request is under way: one may be on its way from a balancer that has
	// not seen it yet.
	timer.Wait(ctx, s.Notice)
	err := e.callers.Close()
	// a connection that was just being accepted would be missed, and cut at the end
	select {
	case <-e.callersServed:
	case <-ctx.Done():
	}
	left := e.conns.Drain(ctx)
	// only now: requests under way needed the lease to their end
	if err := e.members.Leave(ctx); err != nil {
		e.logger.Log("event", "leave", "err", err)
	}
	e.logger.Log("event", "stopped", "requests", e.server.Active().Len(), "left", left, "err", err)
	return err
}
