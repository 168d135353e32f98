package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/pool"
)

const (
	// wholeBytes is the most of an answer that is read to its end before its caller
	// gets any of it: until then a cut one can be had again, or refused, cleanly.
	wholeBytes = 256 << 10
	// readBytes is what is read of an answer at a time.
	readBytes = 8 << 10
)

// errServer says that a backend server answered with a failure of its own.
var errServer = eris.New("the backend server answered with a failure")

// attempt sends the request to one backend server and passes its answer on.
func (r *run) attempt(ctx context.Context, choice pool.Choice) error {
	// the key may have been withdrawn, or this process suspended, while it waited
	if _, err := r.g.authorise(&r.call); err != nil {
		return err
	}
	now := r.g.clock.Now()
	flight := r.g.pool.Begin(now, choice.ID, r.query())
	r.tried = append(r.tried, choice.ID)
	r.sends++
	r.g.logger.Log("event", "route", "request", r.call.ID, "server", choice.ID, "zone", choice.AvailabilityZone, "reason", choice.Reason,
		"candidates", choice.Candidates, "foretold", choice.Foretold, "cached", int64(choice.Cached), "send", r.sends)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	stop := r.watch(cancel, choice)
	defer stop()
	answer, err := r.g.backend.Call(ctx, choice.Address, r.backendCall(choice, now))
	if err != nil {
		return r.failed(ctx, flight, err)
	}
	defer answer.Body.Close()
	if answer.Limit > 0 || !answer.Declined {
		r.g.pool.NoteLimit(r.g.clock.Now(), choice.ID, answer.Limit, now)
	}
	if answer.Declined {
		return r.declined(flight, choice, answer)
	}
	r.runs++
	if r.headed && answer.Status/100 != 2 {
		// passed on, the error would end the caller's answer as if it were whole
		flight.End(r.g.clock.Now(), pool.Erred)
		return eris.Wrapf(errServer, "status %d to a resumed stream", answer.Status)
	}
	if !r.admission.route.Kind.Streamed() || answer.Status/100 != 2 {
		return r.plain(ctx, flight, answer, stop)
	}
	return r.stream(ctx, flight, answer, stop)
}

func (r *run) backendCall(choice pool.Choice, now time.Time) galenastair.BackendCall {
	c := galenastair.BackendCall{
		ID:           r.call.ID,
		Method:       r.call.Method,
		Target:       r.call.Target,
		Host:         r.call.Host,
		Header:       r.call.Header,
		Body:         r.call.Body,
		Expect:       choice.ID,
		Organisation: r.admission.name(),
		Left:         max(0, r.deadline.Sub(now)),
		Priority:     -1,
		After:        r.call.After,
		Usable:       func() bool { return r.g.pool.Usable(r.g.clock.Now(), choice.ID) },
	}
	if r.call.Hints.Model != "" {
		c.Priority = r.admission.priority()
	}
	if r.events.last != "" {
		c.After = r.events.last
	}
	return c
}

const (
	// streamSilence and plainSilence are the least times without any answer after
	// which a request that may be repeated is sent elsewhere. A first event takes
	// some 0.1 to 0.5 s on a busy engine, a plain answer some 20 ms.
	streamSilence = 900 * time.Millisecond
	plainSilence  = 150 * time.Millisecond
	// silenceFactor is how many times longer than foretold a silence must last.
	silenceFactor = 4
)

// watch ends an attempt that stays without any answer for too long, if the request may
// be sent elsewhere. It is made for one backend server that has gone dark or hangs
// among sound ones. The returned function ends the watch.
func (r *run) watch(cancel context.CancelCauseFunc, choice pool.Choice) func() bool {
	route := r.admission.route
	if !route.Kind.Repeatable() || r.runs+1 >= route.Attempts || choice.Candidates < 2 {
		return func() bool { return true }
	}
	least := plainSilence
	if route.Kind.Streamed() {
		least = streamSilence
	}
	left := r.deadline.Sub(r.g.clock.Now())
	wait := max(least, silenceFactor*choice.Foretold)
	if wait > left/2 {
		return func() bool { return true }
	}
	t := time.AfterFunc(wait, func() { cancel(galenastair.ErrSilent) })
	return t.Stop
}

// failed takes in an attempt without an answer.
func (r *run) failed(ctx context.Context, flight *pool.Flight, err error) error {
	now := r.g.clock.Now()
	switch {
	case errors.Is(err, galenastair.ErrAbsent):
		flight.End(now, pool.Absent)
		return err
	case errors.Is(err, galenastair.ErrNotSent):
		flight.End(now, pool.Failed)
		return err
	case errors.Is(err, galenastair.ErrStopping),
		errors.Is(err, context.Canceled) && !errors.Is(err, galenastair.ErrSilent):
		r.runs++
		flight.End(now, pool.Neutral)
		return err
	}
	r.runs++
	flight.End(now, pool.Failed)
	if ctx.Err() == nil && errors.Is(err, galenastair.ErrAnswerCut) {
		r.g.poison.Stopped(now, r.digest)
	}
	return err
}

// declined takes in a backend server's word that it did not run the request.
func (r *run) declined(flight *pool.Flight, choice pool.Choice, answer *galenastair.BackendAnswer) error {
	result := pool.Full
	if answer.Elsewhere {
		result = pool.Neutral
		if r.call.Hints.Model != "" {
			r.g.pool.RemoveModel(r.g.clock.Now(), choice.ID, r.call.Hints.Model)
		}
	}
	flight.End(r.g.clock.Now(), result)
	return eris.Wrapf(galenastair.ErrDeclined, "%s: status %d", choice.ID, answer.Status)
}

// plain passes on an answer that is no stream, read whole first if it is short.
func (r *run) plain(ctx context.Context, flight *pool.Flight, answer *galenastair.BackendAnswer, stop func() bool) error {
	data, err := io.ReadAll(io.LimitReader(answer.Body, wholeBytes+1))
	stop()
	now := r.g.clock.Now()
	flight.Started(now)
	if err != nil {
		return r.cut(ctx, flight, err)
	}
	failure := answer.Status >= http.StatusInternalServerError
	if failure && r.mayRunAgain() {
		flight.End(now, pool.Erred)
		return eris.Wrapf(errServer, "status %d", answer.Status)
	}
	r.first, r.status = now, answer.Status
	length := int64(len(data))
	if length > wholeBytes {
		length = -1
	}
	r.headed = true
	err = r.sink.Head(answer.Status, answer.Header, length)
	if err == nil {
		err = r.sink.Write(data)
	}
	if err == nil && length < 0 {
		err = r.copyRest(answer.Body)
	}
	if err != nil {
		return r.cut(ctx, flight, err)
	}
	result := pool.Succeeded
	if failure {
		result = pool.Erred
	}
	flight.End(r.g.clock.Now(), result)
	r.g.poison.Succeeded(r.digest)
	return nil
}

// mayRunAgain says whether a failure of a backend server is worth another one's try.
func (r *run) mayRunAgain() bool {
	route := r.admission.route
	return route.Kind.Repeatable() && !r.headed && r.runs < route.Attempts
}

func (r *run) copyRest(body io.Reader) error {
	buf := make([]byte, readBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := r.sink.Write(buf[:n]); err != nil {
				return errLeft
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

// cut takes in an answer that broke off.
func (r *run) cut(ctx context.Context, flight *pool.Flight, err error) error {
	result := pool.Failed
	if errors.Is(err, errLeft) || ctx.Err() != nil && !errors.Is(context.Cause(ctx), galenastair.ErrSilent) {
		result = pool.Neutral
	}
	flight.End(r.g.clock.Now(), result)
	return err
}

// stream passes on a stream event by event. The caller gets whole events only, so that
// another backend server can go on behind the last one in the same answer.
func (r *run) stream(ctx context.Context, flight *pool.Flight, answer *galenastair.BackendAnswer, stop func() bool) error {
	buf := make([]byte, readBytes)
	begun := false
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 && !begun {
			begun = true
			stop()
			flight.Started(r.g.clock.Now())
		}
		if whole := r.events.cut(buf[:n]); len(whole) > 0 {
			if err := r.pass(answer, whole); err != nil {
				flight.End(r.g.clock.Now(), pool.Neutral)
				return errLeft
			}
		}
		if errors.Is(err, io.EOF) {
			return r.streamEnded(flight, answer)
		}
		if err != nil {
			r.events.drop()
			return r.cut(ctx, flight, err)
		}
	}
}

func (r *run) streamEnded(flight *pool.Flight, answer *galenastair.BackendAnswer) error {
	now := r.g.clock.Now()
	if r.events.cutShort() {
		r.events.drop()
		flight.End(now, pool.Failed)
		return eris.Wrap(galenastair.ErrAnswerCut, "the last event has no end")
	}
	flight.End(now, pool.Succeeded)
	r.g.poison.Succeeded(r.digest)
	if r.headed {
		return nil
	}
	return r.pass(answer, nil)
}

// pass gives whole events to the caller, the head of the first answer before them.
func (r *run) pass(answer *galenastair.BackendAnswer, whole []byte) error {
	if !r.headed {
		r.headed = true
		r.first, r.status = r.g.clock.Now(), answer.Status
		if err := r.sink.Head(answer.Status, answer.Header, -1); err != nil {
			return err
		}
	}
	if len(whole) == 0 {
		return nil
	}
	now := r.g.clock.Now()
	if !r.passed.IsZero() {
		r.pause = max(r.pause, now.Sub(r.passed))
	}
	r.passed = now
	return r.sink.Write(whole)
}
