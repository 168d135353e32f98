package httpclient

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"galenastair"
)

// closeDelimitedBody is the body of a response that has neither a length nor chunks. The end of its
// connection is the end of the body only if the process that sent it still runs: the kernel closes the
// connections of one that was killed in the same way.
type closeDelimitedBody struct {
	io.ReadCloser
	checkRuns func() error
	ended     error
}

// CloseDelimitedBody returns a body that ends with its connection. At its end, checkRuns returns an error
// unless the process that sent it still runs; the body is then truncated (galenastair.ErrResponseTruncated).
func CloseDelimitedBody(body io.ReadCloser, checkRuns func() error) io.ReadCloser {
	return &closeDelimitedBody{ReadCloser: body, checkRuns: checkRuns}
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = io.EOF
		if err := b.checkRuns(); err != nil {
			b.ended = eris.Wrapf(galenastair.ErrResponseTruncated, "the connection ended, and the server is not known to run: %v", err)
		}
		return n, b.ended
	}
	return n, err
}
