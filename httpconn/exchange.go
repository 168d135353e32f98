package httpconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

// Request is one request as it goes onto a connection.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is the head of an answer; its Body ends with io.EOF only where the framing
// says so, and hands the connection back then.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// maxForeign bounds the answers of other requests that are read over before the
// connection is given up: a peer sends at most one or two twice.
const maxForeign = 3

// Do sends a request and reads the head of its answer. Accept says whether a head
// belongs to the request; others are read over to their end. Cancelling the context
// closes the connection, also while the body is being read.
func (k *Conn) Do(ctx context.Context, r Request, accept func(http.Header) bool) (*Answer, error) {
	stop := context.AfterFunc(ctx, k.Discard)
	if err := k.send(ctx, r); err != nil {
		stop()
		k.Discard()
		return nil, err
	}
	for range maxForeign {
		resp, err := k.head(r.Method) //nolint:bodyclose // its body is closed with the answer's, or with the connection
		if err != nil {
			stop()
			k.Discard()
			return nil, headError(ctx, err)
		}
		b := &body{conn: k, resp: resp, stop: stop, ctx: ctx}
		if accept(resp.Header) {
			return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: b}, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			break
		}
	}
	stop()
	k.Discard()
	if err := ctx.Err(); err != nil {
		return nil, context.Cause(ctx)
	}
	return nil, eris.Wrap(galenastair.ErrCrossed, "the answers on the connection were to other requests")
}

func (k *Conn) send(ctx context.Context, r Request) error {
	var head bytes.Buffer
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&head); err != nil {
		return eris.Wrapf(galenastair.ErrNotSent, "headers: %v", err)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	head.Write(r.Body)
	n, err := k.Write(head.Bytes())
	if err == nil {
		return nil
	}
	if n == 0 {
		return eris.Wrapf(galenastair.ErrNotSent, "write: %v", err)
	}
	// an early answer may stand before a reset; it is read like any other
	if ctx.Err() == nil && k.reader.Buffered() > 0 {
		return nil
	}
	return eris.Wrapf(galenastair.ErrAnswerCut, "write: %v", err)
}

// head reads the head of the next final answer.
func (k *Conn) head(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(k.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

func headError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return eris.Wrap(galenastair.ErrAnswerCut, "closed before an answer")
	}
	return eris.Wrapf(galenastair.ErrAnswerCut, "no answer: %v", err)
}

// body is the rest of an answer.
type body struct {
	conn *Conn
	resp *http.Response
	stop func() bool
	ctx  context.Context
	done bool
}

// Read maps every end that the framing does not give to galenastair.ErrAnswerCut.
func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.resp.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.done = true
		b.release()
		return n, io.EOF
	case b.ctx.Err() != nil:
		return n, context.Cause(b.ctx)
	default:
		return n, eris.Wrapf(galenastair.ErrAnswerCut, "%v", err)
	}
}

// release keeps the connection if nothing follows the answer on it.
func (b *body) release() {
	// bytes behind a complete answer belong to no request
	if !b.stop() || b.resp.Close || b.conn.reader.Buffered() > 0 {
		b.conn.Discard()
		return
	}
	b.conn.Kept = true
	b.conn.client.keep(b.conn, keepAlive(b.resp.Header))
}

// Close ends the reading; before the end of the answer it closes the connection.
func (b *body) Close() error {
	if !b.done {
		b.done = true
		b.stop()
		b.conn.Discard()
	}
	return nil
}

// keepAlive returns the idle timeout that the peer announced, or zero.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
