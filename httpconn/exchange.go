package httpconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

// Request is a request in the form in which it is written to a connection.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Stream replaces Body if it is not nil: a body that is read while it is sent.
	Stream Stream
}

// Stream is a body of known length.
type Stream interface {
	io.Reader
	Length() int64
}

// Response is the status and headers of a response. Its Body returns io.EOF only at the end
// of the body according to its framing, and then returns the connection to the pool.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// CloseDelimited is set if the response has neither a length nor chunks: its body ends where the
	// connection does.
	CloseDelimited bool
}

// maxForeignResponses is the number of responses to other requests after which a
// connection is closed. A peer sends at most one or two responses twice.
const maxForeignResponses = 3

// Do sends a request and reads the status and headers of its response. Responses for which
// accept returns false belong to other requests; they are read to their end and dropped.
// Cancelling the context closes the connection, also while the body is being read.
func (c *Conn) Do(ctx context.Context, r Request, accept func(http.Header) bool) (*Response, error) {
	stop := context.AfterFunc(ctx, c.Discard)
	if err := c.writeRequest(ctx, r); err != nil {
		stop()
		c.Discard()
		return nil, err
	}
	for range maxForeignResponses {
		resp, err := c.readResponse(r.Method) //nolint:bodyclose // closed with the returned response's body, or with the connection
		if err != nil {
			stop()
			c.Discard()
			return nil, readResponseError(ctx, err)
		}
		b := &responseBody{conn: c, resp: resp, stop: stop, ctx: ctx}
		if accept(resp.Header) {
			delimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
			return &Response{Status: resp.StatusCode, Header: resp.Header, Body: b, CloseDelimited: delimited}, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBodyBytes))
		if err != nil || n == maxForeignBodyBytes || resp.Close {
			break
		}
	}
	stop()
	c.Discard()
	if err := ctx.Err(); err != nil {
		return nil, context.Cause(ctx)
	}
	return nil, eris.Wrap(galenastair.ErrInvalidResponse, "received only responses to other requests")
}

func (c *Conn) writeRequest(ctx context.Context, r Request) error {
	var head bytes.Buffer
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&head); err != nil {
		return eris.Wrapf(galenastair.ErrNotSent, "encode headers: %v", err)
	}
	if r.Stream != nil {
		head.WriteString("Content-Length: " + strconv.FormatInt(r.Stream.Length(), 10) + "\r\n\r\n")
		return c.writeStream(ctx, head.Bytes(), r.Stream)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	n, err := c.writeParts(head.Bytes(), r.Body)
	if err == nil {
		return nil
	}
	if n == 0 {
		return eris.Wrapf(galenastair.ErrNotSent, "write: %v", err)
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	// the peer may have responded early and reset the connection; the response is read as usual
	if c.reader.Buffered() > 0 {
		return nil
	}
	return eris.Wrapf(galenastair.ErrResponseTruncated, "write: %v", err)
}

// maxJoinedBytes is the size up to which a body is copied behind the headers, which makes one packet.
const maxJoinedBytes = 4 << 10

// writeParts writes the headers and the body, and returns the number of bytes written. A large body is
// not copied.
func (c *Conn) writeParts(head, body []byte) (int64, error) {
	if len(body) <= maxJoinedBytes {
		n, err := c.Write(append(head, body...))
		return int64(n), err
	}
	parts := net.Buffers{head, body}
	return parts.WriteTo(c.Conn)
}

const (
	// streamChunkBytes is the size of the pieces in which a body is passed on.
	streamChunkBytes = 4 << 10
	// earlyResponseTimeout bounds the wait for the response of a peer that takes no more of a body; it
	// has been sent before the connection was reset.
	earlyResponseTimeout = 50 * time.Millisecond
)

// writeStream writes the headers and then the body as it is read. If the body is shorter than its
// length, the connection must be closed: the peer would take later bytes for the rest.
func (c *Conn) writeStream(ctx context.Context, head []byte, body Stream) error {
	if n, err := c.Write(head); err != nil && n == 0 {
		return eris.Wrapf(galenastair.ErrNotSent, "write: %v", err)
	} else if err != nil {
		return eris.Wrapf(galenastair.ErrResponseTruncated, "write: %v", err)
	}
	buf := make([]byte, streamChunkBytes)
	for left := body.Length(); left > 0; {
		n, err := body.Read(buf[:min(int64(len(buf)), left)])
		left -= int64(n)
		if _, writeErr := c.Write(buf[:n]); writeErr != nil {
			return c.earlyResponse(ctx, writeErr)
		}
		if err != nil && left > 0 {
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			return eris.Wrapf(galenastair.ErrBodyTruncated, "%v", err)
		}
	}
	return nil
}

// earlyResponse returns nil if the peer has responded before it stopped to take the body.
func (c *Conn) earlyResponse(ctx context.Context, writeErr error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	c.broken = true
	_ = c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if err == nil {
		return nil
	}
	return eris.Wrapf(galenastair.ErrResponseTruncated, "write: %v", writeErr)
}

// errInvalidStatus reports a status that HTTP does not have, or that no request has asked for.
var errInvalidStatus = eris.New("invalid status")

// readResponse reads the next final response. It skips interim (1xx) responses; 101 Switching Protocols is
// invalid, as no request asks for another protocol.
func (c *Conn) readResponse(method string) (*http.Response, error) {
	c.head.limit(maxHeadBytes)
	defer c.head.unlimit()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil && c.head.exhausted() {
			// where the limit falls inside a line, ReadResponse takes the part before it for the line
			return nil, errHeadTooLarge
		}
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode < 100, resp.StatusCode == http.StatusSwitchingProtocols, resp.StatusCode > 599:
			return nil, eris.Wrapf(errInvalidStatus, "%03d", resp.StatusCode)
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
}

func readResponseError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if errors.Is(err, errHeadTooLarge) || errors.Is(err, errInvalidStatus) {
		return eris.Wrap(galenastair.ErrInvalidResponse, err.Error())
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return eris.Wrap(galenastair.ErrResponseTruncated, "connection closed before a response")
	}
	return eris.Wrapf(galenastair.ErrResponseTruncated, "read response: %v", err)
}

// responseBody returns the connection to the pool at the end of the body.
type responseBody struct {
	conn *Conn
	resp *http.Response
	stop func() bool
	ctx  context.Context
	done bool
	// err is the first error of a read; net/http returns io.EOF after it.
	err error
}

// Read returns galenastair.ErrResponseTruncated if the body ends before its end by the framing.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.resp.Body.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.done = true
		b.finish()
		b.err = io.EOF
	case b.ctx.Err() != nil:
		b.err = context.Cause(b.ctx)
	default:
		b.err = eris.Wrapf(galenastair.ErrResponseTruncated, "%v", err)
	}
	return n, b.err
}

// finish returns the connection to the pool unless the peer closes it or has sent more bytes.
func (b *responseBody) finish() {
	// bytes after a complete response belong to no request
	if !b.stop() || b.resp.Close || b.conn.broken || b.conn.reader.Buffered() > 0 {
		b.conn.Discard()
		return
	}
	b.conn.Reused = true
	b.conn.pool.putIdle(b.conn, keepAliveTimeout(b.resp.Header))
}

// Close closes the body. The connection is closed too if the body was not read to its end.
func (b *responseBody) Close() error {
	if !b.done {
		b.done = true
		if b.err == nil {
			b.err = net.ErrClosed
		}
		b.stop()
		b.conn.Discard()
	}
	return nil
}

// keepAliveTimeout returns the timeout of the Keep-Alive header, or zero.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
