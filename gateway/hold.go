package gateway

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"galenastair"
	"galenastair/membudget"
)

// bufferLimit returns the size up to which a response is read to its end before the caller gets any of
// it. With a bound on memory, a response that is known to be larger is not buffered at all.
func (r *activeRequest) bufferLimit(resp *galenastair.BackendResponse, failure bool) int64 {
	if r.req.Held == nil {
		return maxBufferedBytes
	}
	// the body of a failure that is retried is dropped
	if failure && r.mayRetryFailure() {
		return 0
	}
	length, err := strconv.ParseInt(resp.Header.Get("Content-Length"), 10, 64)
	if err != nil || length < 0 {
		return int64(r.req.Held.ReserveAnswer(maxUnknownBytes))
	}
	if length > maxBufferedBytes {
		return 0
	}
	reserved := int64(r.req.Held.ReserveAnswer(galenastair.Bytes(length)))
	if reserved < length {
		r.req.Held.Set(membudget.Answers, 0)
		return 0
	}
	return length
}

// maxUnknownBytes is what is buffered, with a bound on memory, of a response that does not state its
// length.
const maxUnknownBytes = 32 << 10

// readStart reads a response up to one byte more than the limit, or to its end. If nothing is to be
// buffered, it returns the first piece.
func (r *activeRequest) readStart(body io.Reader, limit int64) ([]byte, error) {
	start := io.LimitReader(body, limit+1)
	if r.req.Held == nil {
		return io.ReadAll(start)
	}
	if limit == 0 {
		piece := make([]byte, r.req.Held.ChunkBytes(readBufferBytes))
		n, err := body.Read(piece)
		if errors.Is(err, io.EOF) {
			err = nil
		}
		return piece[:n], err
	}
	buf := bytes.NewBuffer(make([]byte, 0, min(limit, maxUnknownBytes)+bytes.MinRead))
	_, err := buf.ReadFrom(start)
	return buf.Bytes(), err
}

// releaseBody drops the request's body once the response to it is accepted and has begun. A stream
// keeps it, as another backend server may have to continue it.
func (r *activeRequest) releaseBody() {
	if r.req.Held == nil || r.admission.route.Kind.Streamed() {
		return
	}
	r.req.Body = nil
	r.req.Held.Set(membudget.Bodies, 0)
}

// write writes a part of the response to the caller. With a bound on memory, it is written in pieces, so
// that it is known whether the caller takes any of it.
func (r *activeRequest) write(p []byte) error {
	if r.req.Held == nil {
		return r.w.Write(p)
	}
	defer r.req.Held.Unblock()
	for len(p) > 0 {
		n := min(len(p), membudget.SocketBuffer)
		r.req.Held.Block(r.g.clock.Now())
		if err := r.w.Write(p[:n]); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// bodySent reports whether a body that is passed on as it arrives has been sent in part, so that the
// request can't be sent again.
func (r *activeRequest) bodySent() bool { return r.req.Streamed != nil && r.req.Streamed.Started() }

// identity returns what tells the request apart from others to the same target: its body, or its ID if the
// body has not been read.
func (r *activeRequest) identity() []byte {
	if r.req.Streamed != nil {
		return []byte(r.req.ID)
	}
	return r.req.Body
}

const (
	// minMemoryRetryAfter is the least Retry-After of a stream that does not fit into the memory budget,
	// and memoryRetrySpread the time over which such requests return.
	minMemoryRetryAfter = 300 * time.Millisecond
	memoryRetrySpread   = 700 * time.Millisecond
)

// memoryRetryAfter returns the Retry-After of such a stream. Callers respect one of up to a third of the
// time that they have left.
func (r *activeRequest) memoryRetryAfter() time.Duration {
	wait := minMemoryRetryAfter + time.Duration(randomFraction()*float64(memoryRetrySpread))
	return min(wait, r.timeout()/3)
}
