package gateway

import (
	"context"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/membudget"
	"galenastair/pool"
)

// forwardStream forwards a stream event by event. The caller gets complete events only, so
// that another backend server can continue the same response after the last one.
func (r *activeRequest) forwardStream(ctx context.Context, attempt *pool.Attempt, resp *galenastair.BackendResponse, stop func() bool) error {
	buf := make([]byte, r.req.Held.ChunkBytes(readBufferBytes))
	started := false
	for {
		r.events.limit = r.req.Held.EventLimit(maxEventBytes)
		n, err := resp.Body.Read(buf)
		if n > 0 && !started {
			started = true
			stop()
			attempt.Started(r.g.clock.Now())
		}
		complete, inOrder := r.completeEvents(buf[:n])
		r.req.Held.Set(membudget.Events, galenastair.Bytes(cap(r.events.partial)+len(complete)))
		if len(complete) > 0 {
			if err := r.writeEvents(ctx, resp, complete); err != nil {
				attempt.End(r.g.clock.Now(), pool.Neutral)
				return errCallerGone
			}
			if err == nil && inOrder && r.shouldMove(r.g.clock.Now(), attempt) {
				r.events.discardPartial()
				attempt.End(r.g.clock.Now(), pool.Neutral)
				return errServerEnds
			}
		}
		if !inOrder {
			attempt.End(r.g.clock.Now(), pool.Failed)
			return eris.Wrapf(galenastair.ErrInvalidResponse, "the id of the event after %q does not follow it", r.order.lastID)
		}
		if errors.Is(err, io.EOF) {
			return r.finishStream(ctx, attempt, resp)
		}
		if err != nil {
			r.events.discardPartial()
			return r.handleTruncation(ctx, attempt, err)
		}
	}
}

// completeEvents adds bytes of a stream, and returns the events that are complete then. It reports whether all
// of them follow the ones before; those that do not are dropped.
func (r *activeRequest) completeEvents(p []byte) (events []byte, inOrder bool) {
	forwardedPart, insideEvent := r.events.forwardedPart, r.events.openEvent
	events = r.events.split(p)
	if insideEvent {
		// a line may begin in the middle of one
		return events, true
	}
	n := r.order.inOrder(events)
	if n < len(events) {
		r.events.rewind(r.order.lastID)
		r.events.forwardedPart, r.events.openEvent = forwardedPart, false
	}
	return events[:n], n == len(events)
}

func (r *activeRequest) finishStream(ctx context.Context, attempt *pool.Attempt, resp *galenastair.BackendResponse) error {
	now := r.g.clock.Now()
	if r.events.insideEvent() {
		r.events.discardPartial()
		attempt.End(now, pool.Failed)
		return eris.Wrap(galenastair.ErrResponseTruncated, "the stream ended inside an event")
	}
	// only a stream that is taken up after its last event has none
	if resp.CloseDelimited && !r.wroteHeader && r.req.LastEventID == "" {
		r.events.discardPartial()
		attempt.End(now, pool.Failed)
		return eris.Wrap(galenastair.ErrResponseTruncated, "the connection ended before the first event")
	}
	attempt.End(now, pool.Succeeded)
	r.recordCompletion(now)
	rest := r.events.partial
	if r.wroteHeader && len(rest) == 0 {
		return nil
	}
	if r.writeEvents(ctx, resp, rest) != nil {
		return errCallerGone
	}
	return nil
}

// writeEvents writes complete events to the caller, preceded by the header of the first
// response.
func (r *activeRequest) writeEvents(ctx context.Context, resp *galenastair.BackendResponse, complete []byte) error {
	if !r.wroteHeader {
		r.wroteHeader = true
		r.firstByteAt, r.status = r.g.clock.Now(), resp.Status
		if err := r.w.WriteHeader(resp.Status, resp.Header, -1); err != nil {
			return err
		}
	}
	if len(complete) == 0 {
		return nil
	}
	r.fixVersion(ctx)
	r.attemptWrites++
	now := r.g.clock.Now()
	if !r.lastWriteAt.IsZero() {
		r.longestPause = max(r.longestPause, now.Sub(r.lastWriteAt))
	}
	r.lastWriteAt = now
	return r.write(complete)
}
