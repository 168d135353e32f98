package gateway

import (
	"context"
	"errors"
	"time"

	"galenastair"
	"galenastair/admission"
	"galenastair/catalog"
	"galenastair/claim"
	"galenastair/pool"
)

// errCallerGone reports that the caller closed its connection.
var errCallerGone = errors.New("the caller left")

// activeRequest is the state of one request while it is served.
type activeRequest struct {
	g         *Gateway
	req       Request
	w         ResponseWriter
	admission authorisation
	// ticket is the request's place under the control of Gateway.admission; nil if it has none.
	ticket *admission.Ticket
	// admitted reports that the request need not yield any more.
	admitted  bool
	yieldedAt time.Time
	service   galenastair.ServiceName
	digest    claim.Digest
	deadline  time.Time
	startedAt time.Time

	// charged reports whether this instance has deducted the cost, or the one that forwarded the
	// request.
	charged bool
	// forwarded reports whether another instance serves the request.
	forwarded bool
	tried     []galenastair.BackendServerID
	// sends counts the attempts; runs counts those that a backend server may have executed.
	sends int
	runs  int
	// process is the server process of the last attempt. attemptWrites counts how often that has sent events
	// to the caller, and attemptResumes reports whether it continued a stream.
	process        claim.ServerProcess
	attemptWrites  int
	attemptResumes bool
	// wroteHeader reports whether the caller has received a response header.
	wroteHeader bool
	firstByteAt time.Time
	// lastWriteAt is when the caller last got events; longestPause is the longest time
	// between two such writes.
	lastWriteAt  time.Time
	longestPause time.Duration
	events       eventSplitter
	order        eventOrder
	// closeDelimited reports whether the last response ended with its connection.
	closeDelimited bool
	// serverVersion is the software version of the last attempt's server, and streamVersion the one
	// that sent the first event and must send all others; nil before.
	serverVersion galenastair.SoftwareVersion
	streamVersion *galenastair.SoftwareVersion
	// versionWaitEnd is when the request no longer waits for a new software version.
	versionWaitEnd    time.Time
	placementRequests int
	status            int
	lastAttempt       *pool.Attempt
	// release returns the permit of the current attempt; nil if it has none.
	release func(declineLimit float64)
	// permitRequests is the number of permits that were denied, and permitWaitEnd is when the request no
	// longer waits for one.
	permitRequests int
	permitWaitEnd  time.Time
	// moveAt is when the stream of the last attempt is resumed elsewhere if its server ends before it;
	// zero if not decided.
	moveAt time.Time
}

// Serve handles one request. A nil error means that w got a complete response. Otherwise
// the error is a *galenastair.Refusal to be sent to the caller. If wroteHeader is true, the
// response has begun: it must be aborted instead, so that the caller sees it as truncated.
func (g *Gateway) Serve(ctx context.Context, req Request, w ResponseWriter) (wroteHeader bool, err error) {
	r := &activeRequest{g: g, req: req, w: w, startedAt: req.Received, streamVersion: req.Version}
	err = r.serve(ctx)
	if err != nil {
		err = r.toRefusal(err)
	}
	r.record(err)
	return r.wroteHeader, err
}

func (r *activeRequest) serve(ctx context.Context) error {
	r.g.catalogSource.WaitReady(ctx)
	a, err := r.g.authorise(&r.req)
	r.admission = a
	if err != nil {
		return err
	}
	if a.route.Kind.Streamed() && r.g.settings.Draining() {
		// A stream takes seconds, and the shutdown of this instance would truncate it.
		return galenastair.NewRefusal(galenastair.ErrStopping, minRetryAfter, "")
	}
	if a.route.Kind.Streamed() && !r.req.Held.AdmitStream() {
		return galenastair.NewRefusal(galenastair.ErrOverloaded, r.memoryRetryAfter(), "no memory is free for a stream")
	}
	if a.route.Kind == catalog.ResumableStream {
		r.order.startAfter(r.req.LastEventID)
	}
	r.service = a.route.PickService(randomFraction())
	r.digest = claim.DigestOf(a.organisationName(), r.req.Method+" "+r.req.Target, r.identity())
	if err := r.checkPoison(); err != nil {
		return err
	}
	r.deadline = r.startedAt.Add(r.timeout())
	if err := r.checkShutdown(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, context.DeadlineExceeded)
	defer cancel()
	if r.req.Streamed != nil {
		r.req.Streamed.SetDeadline(r.deadline)
	}
	if targets := r.forwardTargets(); len(targets) > 0 {
		return r.forward(ctx, targets)
	}
	if err := r.resolveOrigin(ctx); err != nil {
		return err
	}
	if err := r.charge(ctx); err != nil {
		return err
	}
	if r.req.Hints.Model != "" {
		r.g.placement.RecordDemand(r.req.Hints.Model, r.g.pool.EngineTime(r.poolQuery()))
	}
	r.g.earnRetry(r.service)
	return r.serveWithRetries(ctx)
}

// checkShutdown refuses a request that is no stream if this instance may shut down before its response.
func (r *activeRequest) checkShutdown() error {
	if r.g.settings.StopsAt == nil || !r.g.settings.Draining() || r.admission.route.Kind.Streamed() || r.runs > 0 || r.bodySent() {
		return nil
	}
	if r.deadline.After(r.g.settings.StopsAt()) {
		return galenastair.NewRefusal(galenastair.ErrStopping, minRetryAfter, "this instance may shut down before the response")
	}
	return nil
}

// charge deducts the cost of the request, unless the instance that forwarded it has.
func (r *activeRequest) charge(ctx context.Context) error {
	if !r.req.Charged {
		if err := r.g.charge(ctx, r.admission, r.req.Hints); err != nil {
			return err
		}
	}
	r.charged = true
	return nil
}

// timeout returns how long the request may take: the caller's or the route's timeout,
// whichever is shorter.
func (r *activeRequest) timeout() time.Duration {
	p := r.admission.route.Timeout
	if r.req.Timeout > 0 && (p <= 0 || r.req.Timeout < p) {
		p = r.req.Timeout
	}
	if p <= 0 {
		p = defaultTimeout
	}
	return p
}

// defaultTimeout applies where neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// serveWithRetries sends the request until it is answered or may not be retried.
func (r *activeRequest) serveWithRetries(ctx context.Context) error {
	defer r.leaveQueue()
	for {
		if targets := r.forwardTargets(); len(targets) > 0 {
			return r.forward(ctx, targets)
		}
		choice, err := r.chooseServer(ctx)
		if err != nil {
			return err
		}
		if choice.ID == "" {
			continue
		}
		err = r.attempt(ctx, choice)
		r.notifyWaiting()
		if err == nil {
			return nil
		}
		r.checkPartition(ctx, err)
		r.recordFailure(ctx, err)
		if stop := r.checkRetry(ctx, err); stop != nil {
			return stop
		}
	}
}

// checkRetry returns nil if the request may be retried, or else the error that it ends with.
// A request that is not repeatable is not sent again once it may have run. Retries are
// limited to a share of the traffic of their service, so that they do not multiply an
// overload.
func (r *activeRequest) checkRetry(ctx context.Context, err error) error {
	if ctx.Err() != nil || r.bodySent() {
		return err
	}
	kind := r.admission.route.Kind
	clean := errors.Is(err, galenastair.ErrNotSent) || errors.Is(err, galenastair.ErrDeclined)
	if r.wroteHeader && (kind != catalog.ResumableStream || !r.events.resumable()) {
		return err
	}
	if !clean {
		if !kind.Retryable() {
			return err
		}
		if r.runs >= r.maxAttempts() {
			return err
		}
	}
	if r.sends >= r.maxAttempts()+maxExtraSends || r.checkPoison() != nil {
		return err
	}
	// An attempt that was not sent put no load on a backend server and costs no budget. For a stream
	// that is moved, shouldMove has spent it.
	if !errors.Is(err, galenastair.ErrNotSent) && !errors.Is(err, errServerEnds) && !r.g.spendRetry(r.service) {
		return err
	}
	r.g.recorder.Retried(retryReason(err))
	r.g.logger.Log("event", "retry", "request", r.req.ID, "service", r.service, "sends", r.sends, "runs", r.runs, "cause", err)
	return nil
}

// maxAttempts returns the number of backend servers that may run the request.
func (r *activeRequest) maxAttempts() int {
	if r.req.Attempts > 0 {
		return min(r.req.Attempts, r.admission.route.MaxAttempts)
	}
	return r.admission.route.MaxAttempts
}

// maxExtraSends bounds the sends beyond the route's attempts when backend servers decline a
// request. After a few full servers another may have room; after many, all are probably full.
const maxExtraSends = 2

func retryReason(err error) string {
	switch {
	case errors.Is(err, galenastair.ErrNotSent):
		return "NotSent"
	case errors.Is(err, galenastair.ErrDeclined):
		return "Declined"
	case errors.Is(err, galenastair.ErrProgressTimeout):
		return "Silent"
	case errors.Is(err, galenastair.ErrResponseTruncated):
		return "Cut"
	case errors.Is(err, galenastair.ErrInvalidResponse):
		return "Crossed"
	case errors.Is(err, errServerEnds):
		return "Leaving"
	}
	return "Failed"
}

// poolQuery returns the request's properties by which the pool chooses a backend server.
func (r *activeRequest) poolQuery() pool.Query {
	return pool.Query{
		Service:        r.service,
		RequestHints:   r.req.Hints,
		TargetLatency:  r.admission.route.TargetLatency,
		TargetEventGap: r.admission.route.TargetEventGap,
		NoRetry:        !r.admission.route.Kind.Retryable(),
		Regions:        r.admission.regions,
		Version:        r.streamVersion,
		MayBegin:       r.mayBegin(),
		Exclude:        r.tried,
	}
}

// toRefusal converts the error that ended the request into the one sent to the caller.
func (r *activeRequest) toRefusal(err error) *galenastair.Refusal {
	var refused *galenastair.Refusal
	outcome := galenastair.OutcomeNotRun
	if r.runs > 0 {
		outcome = galenastair.OutcomeUnknown
	}
	switch {
	case errors.As(err, &refused):
		return refused.WithOutcome(outcome)
	case errors.Is(err, galenastair.ErrStopping):
		return &galenastair.Refusal{Cause: galenastair.ErrStopping, Outcome: outcome, RetryAfter: minRetryAfter}
	case errors.Is(err, context.Canceled), errors.Is(err, errCallerGone), errors.Is(err, galenastair.ErrBodyTruncated):
		return &galenastair.Refusal{Cause: errCallerGone, Outcome: outcome}
	case errors.Is(err, context.DeadlineExceeded):
		if outcome == galenastair.OutcomeNotRun {
			return galenastair.NewRefusal(galenastair.ErrOverloaded, overloadRetryAfter, "no backend server had capacity in time")
		}
		return &galenastair.Refusal{Cause: galenastair.ErrTimeout, Outcome: outcome}
	case outcome == galenastair.OutcomeNotRun:
		return galenastair.NewRefusal(galenastair.ErrOverloaded, overloadRetryAfter, err.Error())
	case errors.Is(err, galenastair.ErrResponseTruncated):
		return &galenastair.Refusal{Cause: galenastair.ErrResponseTruncated, Outcome: outcome, Detail: err.Error()}
	default:
		return &galenastair.Refusal{Cause: galenastair.ErrBackendFailed, Outcome: outcome, Detail: err.Error()}
	}
}

// overloadRetryAfter is the Retry-After when no backend server had capacity. In this time
// an engine runs several batch steps, in which requests end and free slots.
const overloadRetryAfter = 300 * time.Millisecond

func (r *activeRequest) record(err error) {
	now := r.g.clock.Now()
	e := RequestSummary{
		ID:           r.req.ID,
		Organisation: r.admission.organisationName(),
		Status:       r.status,
		Outcome:      galenastair.OutcomeRan,
		Sends:        r.sends,
		Duration:     now.Sub(r.startedAt),
		Complete:     err == nil,
	}
	if r.admission.route != nil {
		e.Kind, e.Route = r.admission.route.Kind, r.admission.route.Name
	}
	if !r.firstByteAt.IsZero() {
		e.TimeToFirstByte = r.firstByteAt.Sub(r.startedAt)
	}
	var refused *galenastair.Refusal
	if errors.As(err, &refused) {
		e.Code, e.Outcome = errorCode(refused), refused.Outcome
		if !r.wroteHeader {
			e.Status = refused.Status()
		}
	}
	r.g.recorder.RequestEnded(e)
	event := "answered"
	if err != nil {
		event = "refused"
		if r.wroteHeader {
			event = "broken off"
		}
	}
	r.g.logger.Log("event", event, "request", e.ID, "organisation", e.Organisation, "route", e.Route, "status", e.Status,
		"code", e.Code, "outcome", e.Outcome, "sends", e.Sends, "runs", r.runs, "first", e.TimeToFirstByte, "total", e.Duration, "pause", r.longestPause, "last_event", r.events.lastEventID, "close_delimited", r.closeDelimited,
		"version", r.admission.version, "age", r.admission.age, "model", r.req.Hints.Model, "tokens", int64(r.req.Hints.PromptTokens+r.req.Hints.OutputTokens), "cause", err)
}

func errorCode(r *galenastair.Refusal) galenastair.Code {
	if errors.Is(r, errCallerGone) {
		return "CallerLeft"
	}
	return r.Code()
}
