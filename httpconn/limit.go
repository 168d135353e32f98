package httpconn

import (
	"io"

	"github.com/rotisserie/eris"
)

const (
	// maxHeadBytes bounds the status line and headers of a response, with all interim responses
	// before it.
	maxHeadBytes = 64 << 10
	// maxForeignBodyBytes bounds the body of a response to another request, which is read to its end.
	maxForeignBodyBytes = 1 << 20
)

var errHeadTooLarge = eris.New("the head of the response has no end")

// headReader limits the bytes that are read while a head is expected. A server in trouble may send
// bytes without end.
type headReader struct {
	io.Reader
	limited bool
	left    int
}

func (r *headReader) limit(n int) { r.limited, r.left = true, n }

func (r *headReader) unlimit() { r.limited = false }

// exhausted reports whether as many bytes have been read as the limit allows.
func (r *headReader) exhausted() bool { return r.limited && r.left <= 0 }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if r.exhausted() {
		return 0, errHeadTooLarge
	}
	n, err := r.Reader.Read(p)
	r.left -= n
	return n, err
}
