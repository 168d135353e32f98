package httpclient

import (
	"context"

	"github.com/rotisserie/eris"

	"galenastair"
)

// ClassifyError returns the cause of a request that got no response. The context is the caller's.
//
// A request that a backend server may have run must not be reported as not run, since the
// caller would repeat it. So ErrNotSent is returned only if no byte was written before
// further writes were blocked.
func (p *Pool) ClassifyError(ctx context.Context, server string, t *RequestTrace, err error) error {
	if t.NotSent() {
		return eris.Wrapf(galenastair.ErrNotSent, "%v", err)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	// The other pooled connections to the server may have failed as well.
	p.CloseIdle(server)
	return eris.Wrapf(galenastair.ErrBackendFailed, "no answer: %v", err)
}
