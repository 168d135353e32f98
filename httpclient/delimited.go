package httpclient

import (
	"context"
	"errors"
	"fmt"
	"io"

	"galenastair"
)

// closeDelimitedBody is the body of a response that has neither a length nor chunks. The end of its
// connection is the end of the body only if the process that sent it still runs: the kernel closes the
// connections of one that was killed in the same way.
type closeDelimitedBody struct {
	io.ReadCloser
	ctx            context.Context
	confirmRunning func() error
	// err is what Read returns after the end of the connection.
	err error
}

// CloseDelimitedBody returns a body that ends with its connection. At its end, confirmRunning returns an error
// unless the process that sent it is seen to run. The body then ends with galenastair.ErrEndUnconfirmed,
// beside ErrResponseTruncated, or with the cause of the context if that has ended. It ends with ErrServerEnded
// too if the error wraps that or ErrConnectionRefused.
func CloseDelimitedBody(ctx context.Context, body io.ReadCloser, confirmRunning func() error) io.ReadCloser {
	return &closeDelimitedBody{ReadCloser: body, ctx: ctx, confirmRunning: confirmRunning}
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.err = io.EOF
	if err := b.confirmRunning(); err != nil {
		// err may wrap ErrNotSent, which holds for the call to the server and not for the request
		b.err = fmt.Errorf("%w: %w: %s", galenastair.ErrResponseTruncated, galenastair.ErrEndUnconfirmed, err.Error())
		if errors.Is(err, galenastair.ErrServerEnded) || errors.Is(err, galenastair.ErrConnectionRefused) {
			b.err = fmt.Errorf("%w: %w", b.err, galenastair.ErrServerEnded)
		}
		if b.ctx.Err() != nil {
			b.err = context.Cause(b.ctx)
		}
	}
	return n, b.err
}
