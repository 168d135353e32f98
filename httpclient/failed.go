package httpclient

import (
	"context"

	"github.com/rotisserie/eris"

	"galenastair"
)

// Failed names the cause of a request that got no answer; ctx is its caller's.
//
// Failure: a request that died on its way is told as not run, and its caller
// sends it again, though the backend server ran it. Only what was sealed before
// a byte went out is ErrNotSent.
func (p *Pool) Failed(ctx context.Context, server string, s *Sending, err error) error {
	if s.NotSent() {
		return eris.Wrapf(galenastair.ErrNotSent, "%v", err)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	// what else is pooled may be as dead as the connection that failed
	p.Forget(server)
	return eris.Wrapf(galenastair.ErrBackendServer, "no answer: %v", err)
}
