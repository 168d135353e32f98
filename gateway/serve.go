package gateway

import (
	"context"
	"errors"
	"time"

	"galenastair"
	"galenastair/catalog"
	"galenastair/claim"
	"galenastair/pool"
)

// errLeft says that the caller closed its connection.
var errLeft = errors.New("the caller left")

// run is one request under way.
type run struct {
	g         *Gateway
	call      Call
	sink      Sink
	admission admission
	service   galenastair.ServiceName
	digest    claim.Digest
	deadline  time.Time
	begun     time.Time

	tried []galenastair.BackendServerID
	// sends counts what was sent, runs what may have run.
	sends int
	runs  int
	// headed says that the caller has the head of an answer.
	headed bool
	first  time.Time
	// passed is when the caller last got events, and pause the longest time between two such.
	passed time.Time
	pause  time.Duration
	events events
	needed int
	status int
}

// Serve carries one request. A nil error means that the sink got a whole answer. A
// *galenastair.Refusal is what the caller is to be told instead, unless headed is
// true: then the answer must be broken off so that it does not look whole.
func (g *Gateway) Serve(ctx context.Context, c Call, sink Sink) (headed bool, err error) {
	r := &run{g: g, call: c, sink: sink, begun: c.Received}
	err = r.serve(ctx)
	if err != nil {
		err = r.refusal(err)
	}
	r.record(err)
	return r.headed, err
}

func (r *run) serve(ctx context.Context) error {
	r.g.views.Await(ctx)
	a, err := r.g.authorise(&r.call)
	r.admission = a
	if err != nil {
		return err
	}
	if a.route.Kind.Streamed() && r.g.settings.Closing() {
		// a stream takes seconds, and would be cut by this instance's end
		return galenastair.Refuse(galenastair.ErrStopping, leastRetry, "")
	}
	r.service = a.route.Choose(draw())
	r.digest = claim.DigestOf(a.name(), r.call.Method+" "+r.call.Target, r.call.Body)
	if err := r.g.poison.Allow(r.g.clock.Now(), r.digest); err != nil {
		return galenastair.Refuse(galenastair.ErrOverloaded, mostRetry, "it stopped the backend servers that ran it")
	}
	if err := r.g.charge(ctx, a, r.call.Hints); err != nil {
		return err
	}
	if r.call.Hints.Model != "" {
		r.g.placement.Asked(r.call.Hints.Model, r.g.pool.EngineTime(r.query()))
	}
	r.g.earn(r.service)
	r.deadline = r.begun.Add(r.patience())
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, context.DeadlineExceeded)
	defer cancel()
	return r.attempts(ctx)
}

// patience is how long the request may take: the caller's time or the route's.
func (r *run) patience() time.Duration {
	p := r.admission.route.Timeout
	if r.call.Left > 0 && (p <= 0 || r.call.Left < p) {
		p = r.call.Left
	}
	if p <= 0 {
		p = defaultPatience
	}
	return p
}

// defaultPatience is used where neither the caller nor the route says one.
const defaultPatience = 30 * time.Second

// attempts sends the request until it is answered or may not be sent again.
func (r *run) attempts(ctx context.Context) error {
	for {
		choice, err := r.choose(ctx)
		if err != nil {
			return err
		}
		if choice.ID == "" {
			continue
		}
		err = r.attempt(ctx, choice)
		if err == nil {
			return nil
		}
		if stop := r.next(ctx, err); stop != nil {
			return stop
		}
	}
}

// next returns nil if the request may be sent once more, or else what it ends with. One that may
// not be repeated is not sent again once it may have run, and all retries of a service come out
// of a share of its traffic, so that they do not multiply an overload.
func (r *run) next(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return err
	}
	kind := r.admission.route.Kind
	clean := errors.Is(err, galenastair.ErrNotSent) || errors.Is(err, galenastair.ErrDeclined)
	if !clean {
		if !kind.Repeatable() || r.headed && kind != catalog.ResumableStream {
			return err
		}
		if r.runs >= r.admission.route.Attempts {
			return err
		}
	}
	if r.sends >= r.admission.route.Attempts+extraSends {
		return err
	}
	// one that was not sent did not arrive: it costs no budget
	if !errors.Is(err, galenastair.ErrNotSent) && !r.g.maySpend(r.service) {
		return err
	}
	r.g.recorder.Retried(reasonOf(err))
	r.g.logger.Log("event", "retry", "request", r.call.ID, "service", r.service, "sends", r.sends, "runs", r.runs, "cause", err)
	return nil
}

// extraSends bounds the servers that a request visits beyond the route's attempts when
// they decline it: a few full ones say little about the rest, many say that all are.
const extraSends = 2

func reasonOf(err error) string {
	switch {
	case errors.Is(err, galenastair.ErrNotSent):
		return "NotSent"
	case errors.Is(err, galenastair.ErrDeclined):
		return "Declined"
	case errors.Is(err, galenastair.ErrSilent):
		return "Silent"
	case errors.Is(err, galenastair.ErrAnswerCut):
		return "Cut"
	case errors.Is(err, galenastair.ErrCrossed):
		return "Crossed"
	}
	return "Failed"
}

// query is what the pool needs to know.
func (r *run) query() pool.Query {
	return pool.Query{
		Service: r.service,
		Hints:   r.call.Hints,
		Aim:     r.admission.route.Aim,
		Once:    !r.admission.route.Kind.Repeatable(),
		Exclude: r.tried,
	}
}

// refusal turns what ended the request into what its caller is told.
func (r *run) refusal(err error) *galenastair.Refusal {
	var told *galenastair.Refusal
	outcome := galenastair.NotRun
	if r.runs > 0 {
		outcome = galenastair.Unknown
	}
	switch {
	case errors.As(err, &told):
		return told.After(outcome)
	case errors.Is(err, galenastair.ErrStopping):
		return &galenastair.Refusal{Cause: galenastair.ErrStopping, Outcome: outcome, RetryAfter: leastRetry}
	case errors.Is(err, context.Canceled):
		return &galenastair.Refusal{Cause: errLeft, Outcome: outcome}
	case errors.Is(err, context.DeadlineExceeded):
		if outcome == galenastair.NotRun {
			return galenastair.Refuse(galenastair.ErrOverloaded, retryFull, "no backend server had room in time")
		}
		return &galenastair.Refusal{Cause: galenastair.ErrTimeout, Outcome: outcome}
	case outcome == galenastair.NotRun:
		return galenastair.Refuse(galenastair.ErrOverloaded, retryFull, err.Error())
	case errors.Is(err, galenastair.ErrAnswerCut):
		return &galenastair.Refusal{Cause: galenastair.ErrAnswerCut, Outcome: outcome, Detail: err.Error()}
	default:
		return &galenastair.Refusal{Cause: galenastair.ErrBackendServer, Outcome: outcome, Detail: err.Error()}
	}
}

// retryFull is when to come back to backend servers that had no room: some rounds of a
// batch, in which requests end and make room.
const retryFull = 300 * time.Millisecond

func (r *run) record(err error) {
	now := r.g.clock.Now()
	e := Ending{
		ID:           r.call.ID,
		Organisation: r.admission.name(),
		Status:       r.status,
		Outcome:      galenastair.Ran,
		Sends:        r.sends,
		Total:        now.Sub(r.begun),
		Whole:        err == nil,
	}
	if r.admission.route != nil {
		e.Kind, e.Route = r.admission.route.Kind, r.admission.route.Name
	}
	if !r.first.IsZero() {
		e.First = r.first.Sub(r.begun)
	}
	var told *galenastair.Refusal
	if errors.As(err, &told) {
		e.Code, e.Outcome = codeOf(told), told.Outcome
		if !r.headed {
			e.Status = told.Status()
		}
	}
	r.g.recorder.RequestEnded(e)
	event := "answered"
	if err != nil {
		event = "refused"
		if r.headed {
			event = "broken off"
		}
	}
	r.g.logger.Log("event", event, "request", e.ID, "organisation", e.Organisation, "route", e.Route, "status", e.Status,
		"code", e.Code, "outcome", e.Outcome, "sends", e.Sends, "runs", r.runs, "first", e.First, "total", e.Total, "pause", r.pause,
		"version", r.admission.version, "age", r.admission.age, "model", r.call.Hints.Model, "tokens", int64(r.call.Hints.Prompt+r.call.Hints.Output), "cause", err)
}

func codeOf(r *galenastair.Refusal) galenastair.Code {
	if errors.Is(r, errLeft) {
		return "CallerLeft"
	}
	return r.Code()
}
