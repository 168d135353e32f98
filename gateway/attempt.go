package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/catalog"
	"galenastair/claim"
	"galenastair/membudget"
	"galenastair/pool"
)

const (
	// maxBufferedBytes bounds the response that is read to its end before the caller gets
	// any of it. Until then a truncated response can be retried or replaced by an error.
	maxBufferedBytes = 256 << 10
	// readBufferBytes is the size of one read from a response body.
	readBufferBytes = 8 << 10
)

// errBackendFailure reports a response with an error status of the backend server.
var errBackendFailure = eris.New("the backend server returned an error status")

// attempt sends the request to one backend server and forwards the response.
func (r *activeRequest) attempt(ctx context.Context, choice pool.Choice) error {
	var declineLimit float64
	defer func() { r.releasePermit(declineLimit) }()
	// While the request waited, its key may have been withdrawn, this process suspended or told to stop, or
	// servers crashed by identical requests.
	if _, err := r.g.authorise(&r.req); err != nil {
		return err
	}
	if err := r.checkPoison(); err != nil {
		return err
	}
	if err := r.checkShutdown(); err != nil {
		return err
	}
	now := r.g.clock.Now()
	query := r.poolQuery()
	attempt := r.g.pool.Begin(now, choice.ID, query)
	r.lastAttempt, r.moveAt = attempt, time.Time{}
	r.tried, r.serverVersion = append(r.tried, choice.ID), choice.Version
	r.sends++
	r.process = claim.ServerProcess(fmt.Sprintf("%s@%d", choice.ID, choice.Incarnation))
	r.attemptWrites = 0
	outgoing := r.backendRequest(choice, query, now)
	r.attemptResumes = outgoing.LastEventID != ""
	r.g.logger.Log("event", "route", "request", r.req.ID, "server", choice.ID, "server_version", choice.Version, "after", outgoing.LastEventID, "resumes", r.req.Resumes, "zone", choice.AvailabilityZone, "reason", choice.Reason,
		"candidates", choice.Candidates, "foretold", choice.PredictedLatency, "cached", int64(choice.CachedTokens), "send", r.sends)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	stop := r.watchSilence(cancel, choice)
	defer stop()
	resp, err := r.g.backend.Call(ctx, choice.Address, outgoing)
	if err != nil {
		return r.handleFailure(attempt, err)
	}
	defer resp.Body.Close()
	if !resp.Misdirected {
		r.g.crashes.ServerSeen(r.g.clock.Now(), r.process)
	}
	r.recordAnnouncements(choice, resp, now)
	if resp.Declined {
		if !resp.Misdirected {
			declineLimit = resp.DeclineLimit
		}
		return r.handleDecline(attempt, choice, resp)
	}
	r.runs++
	return r.receive(ctx, attempt, resp, stop)
}

// receive forwards a response. stop ends the watch for silence.
func (r *activeRequest) receive(ctx context.Context, attempt *pool.Attempt, resp *galenastair.BackendResponse, stop func() bool) error {
	r.closeDelimited = resp.CloseDelimited
	if r.wroteHeader && resp.Status/100 != 2 {
		// If the error body were forwarded, the caller would take its response for complete.
		attempt.End(r.g.clock.Now(), pool.ServerError)
		return eris.Wrapf(errBackendFailure, "status %d for a resumed stream", resp.Status)
	}
	if !r.admission.route.Kind.Streamed() || resp.Status/100 != 2 {
		return r.forwardResponse(ctx, attempt, resp, stop)
	}
	return r.forwardStream(ctx, attempt, resp, stop)
}

// recordAnnouncements passes what a response says of its server on to the pool.
func (r *activeRequest) recordAnnouncements(choice pool.Choice, resp *galenastair.BackendResponse, sentAt time.Time) {
	now := r.g.clock.Now()
	if resp.Leaving && r.g.pool.ObserveLeaving(now, choice.ID, choice.Incarnation) {
		r.g.logger.Log("event", "leave announced", "request", r.req.ID, "server", choice.ID)
	}
	if resp.DeclineLimit > 0 && r.g.pool.ObserveBrittle(now, choice.ID) {
		r.g.logger.Log("event", "brittle", "request", r.req.ID, "server", choice.ID, "service", choice.Service, "limit", resp.DeclineLimit)
	}
	if resp.DeclineLimit > 0 && resp.Declined && !resp.Misdirected {
		wait := r.g.pool.ObserveDecline(now, choice.ID, resp.DeclineLimit)
		r.g.logger.Log("event", "backoff", "request", r.req.ID, "server", choice.ID, "limit", resp.DeclineLimit, "wait", wait)
	}
	if resp.Backoff > 0 {
		r.g.pool.Backoff(now, choice.ID, resp.Backoff)
		r.g.logger.Log("event", "backoff", "request", r.req.ID, "server", choice.ID, "wait", resp.Backoff)
	}
	if resp.RateLimit > 0 || !resp.Declined {
		r.g.pool.ObserveLimit(now, choice.ID, resp.RateLimit, sentAt)
	}
}

func (r *activeRequest) backendRequest(choice pool.Choice, query pool.Query, now time.Time) galenastair.BackendRequest {
	c := r.outgoingRequest(now)
	c.ExpectedServer, c.Incarnation = choice.ID, choice.Incarnation
	// a process that has replaced the registered one may be of another software version
	c.CheckIncarnation = r.admission.route.Kind == catalog.ResumableStream
	c.Organisation = r.admission.organisationName()
	c.ShouldSend = func() bool {
		now := r.g.clock.Now()
		return r.g.pool.Usable(now, choice.ID) && r.g.pool.EndsBeforeServer(now, choice.ID, query)
	}
	if r.req.Hints.Model != "" {
		c.Priority = r.admission.level
	}
	return c
}

// outgoingRequest returns what a request to a backend server and one to another instance have in
// common.
func (r *activeRequest) outgoingRequest(now time.Time) galenastair.BackendRequest {
	c := galenastair.BackendRequest{
		ID:          r.req.ID,
		Method:      r.req.Method,
		Target:      r.req.Target,
		Host:        r.req.Host,
		Header:      r.req.Header,
		Body:        r.req.Body,
		Streamed:    r.req.Streamed,
		Timeout:     max(0, r.deadline.Sub(now)),
		Priority:    -1,
		LastEventID: r.req.LastEventID,
	}
	if r.events.lastEventID != "" {
		c.LastEventID = r.events.lastEventID
	}
	return c
}

const (
	// minStreamSilence and minPlainSilence are the shortest times without a response after
	// which a repeatable request is sent to another backend server. The first event takes
	// 0.1 to 0.5 s on a busy engine, a response that is no stream about 20 ms.
	minStreamSilence = 900 * time.Millisecond
	minPlainSilence  = 150 * time.Millisecond
	// silenceFactor is the multiple of the estimated response time after which a backend
	// server counts as silent.
	silenceFactor = 4
)

// watchSilence looks for a partition if an attempt gets no response for too long, and cancels
// the attempt if the request may be sent to another backend server. Without it, requests to one
// unreachable or hung backend server would fail although others could serve them. The returned
// function stops the timer.
func (r *activeRequest) watchSilence(cancel context.CancelCauseFunc, choice pool.Choice) func() bool {
	route := r.admission.route
	minSilence := minPlainSilence
	if route.Kind.Streamed() {
		minSilence = minStreamSilence
	}
	wait := max(minSilence, silenceFactor*choice.PredictedLatency)
	mayCancel := r.req.Streamed == nil && route.Kind.Retryable() && r.runs+1 < r.maxAttempts() && choice.Alternatives > 0 && wait <= r.deadline.Sub(r.g.clock.Now())/2
	t := time.AfterFunc(wait, func() {
		if mayCancel {
			cancel(galenastair.ErrProgressTimeout)
			return
		}
		r.g.peers.Suspect(r.service)
	})
	return t.Stop
}

// handleFailure reports an attempt without a response to the pool, and counts it as a run
// if the request may have reached the backend server.
func (r *activeRequest) handleFailure(attempt *pool.Attempt, err error) error {
	now := r.g.clock.Now()
	switch {
	case errors.Is(err, galenastair.ErrConnectionRefused):
		attempt.End(now, pool.Down)
		return err
	case errors.Is(err, galenastair.ErrNotSent):
		attempt.End(now, pool.Failed)
		return err
	case errors.Is(err, galenastair.ErrStopping), errors.Is(err, galenastair.ErrBodyTruncated),
		errors.Is(err, context.Canceled) && !errors.Is(err, galenastair.ErrProgressTimeout):
		r.runs++
		attempt.End(now, pool.Neutral)
		return err
	}
	r.runs++
	attempt.End(now, pool.Failed)
	return err
}

// handleDecline handles a response that states that the backend server did not run the
// request.
func (r *activeRequest) handleDecline(attempt *pool.Attempt, choice pool.Choice, resp *galenastair.BackendResponse) error {
	result := pool.Full
	if resp.Misdirected {
		result = pool.Neutral
		if r.req.Hints.Model != "" {
			r.g.pool.RemoveModel(r.g.clock.Now(), choice.ID, r.req.Hints.Model)
		}
	}
	attempt.End(r.g.clock.Now(), result)
	return eris.Wrapf(galenastair.ErrDeclined, "%s: status %d", choice.ID, resp.Status)
}

// forwardResponse forwards a response that is no stream. A body of up to maxBufferedBytes
// is read completely first.
func (r *activeRequest) forwardResponse(ctx context.Context, attempt *pool.Attempt, resp *galenastair.BackendResponse, stop func() bool) error {
	failure := resp.Status >= http.StatusInternalServerError
	limit := r.bufferLimit(resp, failure)
	data, err := r.readStart(resp.Body, limit)
	stop()
	now := r.g.clock.Now()
	attempt.Started(now)
	length := int64(len(data))
	if r.req.Held != nil && err == nil && length > limit && ctx.Err() != nil {
		// the attempt was cancelled before the caller got any of the response
		err = context.Cause(ctx)
	}
	if err != nil {
		return r.handleTruncation(ctx, attempt, err)
	}
	if failure && r.mayRetryFailure() {
		attempt.End(now, pool.ServerError)
		return eris.Wrapf(errBackendFailure, "status %d", resp.Status)
	}
	r.firstByteAt, r.status = now, resp.Status
	if length > limit {
		length = -1
	}
	if err := r.writeResponse(resp, data, length); err != nil {
		return r.handleTruncation(ctx, attempt, err)
	}
	result := pool.Succeeded
	if failure {
		result = pool.ServerError
	}
	attempt.End(r.g.clock.Now(), result)
	r.recordCompletion(now)
	return nil
}

// writeResponse writes the response to the caller: the part that was read and, if its length is not
// known, the rest.
func (r *activeRequest) writeResponse(resp *galenastair.BackendResponse, data []byte, length int64) error {
	r.wroteHeader = true
	r.releaseBody()
	if r.w.WriteHeader(resp.Status, resp.Header, length) != nil || r.write(data) != nil {
		return errCallerGone
	}
	r.req.Held.Set(membudget.Answers, 0)
	if length >= 0 {
		return nil
	}
	return r.copyBody(resp.Body)
}

// mayRetryFailure reports whether an error status may be retried on another backend server.
func (r *activeRequest) mayRetryFailure() bool {
	route := r.admission.route
	return route.Kind.Retryable() && !r.wroteHeader && !r.bodySent() && r.runs < r.maxAttempts()
}

func (r *activeRequest) copyBody(body io.Reader) error {
	buf := make([]byte, r.req.Held.ChunkBytes(readBufferBytes))
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := r.write(buf[:n]); err != nil {
				return errCallerGone
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// handleTruncation reports a response that broke off to the pool.
func (r *activeRequest) handleTruncation(ctx context.Context, attempt *pool.Attempt, err error) error {
	result := pool.Failed
	if errors.Is(err, errCallerGone) || errors.Is(err, galenastair.ErrEndUnconfirmed) || ctx.Err() != nil && !errors.Is(context.Cause(ctx), galenastair.ErrProgressTimeout) {
		result = pool.Neutral
	}
	attempt.End(r.g.clock.Now(), result)
	return err
}
