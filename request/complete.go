package request

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"galenastair"
	"galenastair/claim"
	"galenastair/dispatch"
	"galenastair/route"
)

// cancelTimeout bounds how long a caller that has gone keeps its goroutine for
// telling the engine to stop.
const cancelTimeout = time.Second

// completion is one model request under way.
type completion struct {
	s      *Server
	call   Call
	sink   Sink
	auth   authority
	digest claim.Digest
	// prompt is the estimate that was charged.
	prompt galenastair.Tokens
	progress
	// reached says that the last attempt's backend server got the request.
	reached bool
	ending  Ending
	begun   time.Time
	granted time.Time
	first   time.Time
	last    time.Time
	grant   *dispatch.Grant
	tried   []galenastair.BackendServerID
}

// Complete carries one model request and passes its answer to the sink; a nil
// error means that the whole answer, with its end mark, was passed.
func (s *Server) Complete(ctx context.Context, call Call, sink Sink) error {
	c := &completion{s: s, call: call, sink: sink, begun: s.clock.Now()}
	c.idempotent = call.IdempotencyKey == ""
	c.ending = Ending{ID: call.ID, Model: call.Model}
	err := c.admit(ctx)
	if err != nil {
		err = refusalOf(cause(ctx, err), c.outcome())
	}
	c.record(err)
	return err
}

// cause prefers the reason for which a request was cancelled, such as a
// withdrawn key, to the bare cancellation.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil && errors.Is(err, context.Canceled) {
		return c
	}
	return err
}

func (c *completion) admit(ctx context.Context) error {
	auth, err := c.s.mayServe(c.call.Key)
	if err != nil {
		return err
	}
	c.auth = auth
	c.ending.Organisation = auth.organisation
	if !auth.contract.PermitsModel(c.call.Model) {
		return galenastair.Refuse(galenastair.ErrNotPermitted, 0, string(c.call.Model))
	}
	c.digest = claim.DigestOf(auth.organisation, string(c.call.Model), c.call.Body)
	if err := c.s.poison.Allow(c.s.clock.Now(), c.digest); err != nil {
		return err
	}
	return c.claimed(ctx)
}

// claimed takes the claim before the charge: a repeated request is told so
// without costing its organisation anything.
func (c *completion) claimed(ctx context.Context) error {
	if c.call.IdempotencyKey == "" {
		return c.charged(ctx)
	}
	claim, err := c.s.begin(ctx, c.auth.organisation, c.call.IdempotencyKey, c.digest, c.call.ID)
	if err != nil {
		return err
	}
	err = c.charged(ctx)
	if err == nil {
		claim.Finish(galenastair.Ran)
	} else {
		claim.Finish(refusalOf(err, c.outcome()).Outcome)
	}
	return err
}

func (c *completion) charged(ctx context.Context) error {
	c.prompt = c.s.estimator.within(c.auth.contract.Burst-c.call.OutputTokens, c.call.Model, len(c.call.Prompt))
	own := c.prompt + c.call.OutputTokens
	debt := c.s.debts.take(c.auth.organisation, c.auth.contract.Burst-own)
	charge, err := c.s.charge(ctx, c.auth.organisation, own+debt, c.call.ID)
	if err != nil {
		c.s.debts.add(c.auth.organisation, debt)
		return err
	}
	c.ending.Charged = own
	err = c.run(ctx)
	c.settle(charge, debt, err)
	return err
}

// settle gives back what was not used; a debt that was paid with it stays paid.
func (c *completion) settle(charge Charge, debt galenastair.Tokens, err error) {
	if err != nil && c.outcome() == galenastair.NotRun {
		c.ending.Used = 0
	} else if c.ending.Used == 0 {
		// without the engine's count the whole charge stands: what it
		// produced after a cut is not known
		c.ending.Used = c.ending.Charged
	}
	c.s.debts.add(c.auth.organisation, c.ending.Used-c.ending.Charged)
	charge.Settle(c.ending.Used + debt)
}

func (c *completion) run(ctx context.Context) error {
	ctx, end := c.s.active.Begin(ctx, c.call.Key)
	defer end()
	for {
		err := c.attempt(ctx)
		if err == nil {
			return nil
		}
		if err := c.next(ctx, err); err != nil {
			return cause(ctx, err)
		}
	}
}

// next returns nil if the request may be tried on another backend server.
func (c *completion) next(ctx context.Context, err error) error {
	var refused *galenastair.Refusal
	if errors.As(err, &refused) || decide(c.progress, err) != tryElsewhere {
		return err
	}
	now := c.s.clock.Now()
	// a request that kills what runs it may be sent to one more, never on through the fleet
	if c.reached && !c.s.poison.Stopped(now, c.digest) {
		return &galenastair.Refusal{Cause: galenastair.ErrPoison, Outcome: c.outcome()}
	}
	if !c.s.retries.MayRetry() {
		return err
	}
	c.s.logger.Log("event", "retry", "request", c.call.ID, "organisation", c.auth.organisation, "model", c.call.Model, "failed", c.ending.BackendServer, "cause", err)
	return ctx.Err()
}

func (c *completion) attempt(ctx context.Context) error {
	grant, err := c.s.dispatcher.Acquire(ctx, dispatch.Request{
		ID:           c.call.ID,
		Organisation: c.auth.organisation,
		Weight:       c.auth.contract.Rate,
		Model:        c.call.Model,
		PromptTokens: c.prompt,
		OutputTokens: c.call.OutputTokens,
		Prefix:       route.Prefix(c.call.Model, c.call.Prompt),
		Deadline:     c.call.Deadline,
		Exclude:      c.tried,
	})
	if err != nil {
		return err
	}
	result := dispatch.Result{}
	defer func() { grant.Release(result) }()
	c.grant = grant
	if _, err := c.s.mayServe(c.call.Key); err != nil {
		return err
	}
	c.granted = c.s.clock.Now()
	c.attempts++
	c.tried = append(c.tried, grant.Server)
	c.ending.BackendServer = grant.Server
	c.ending.Queued = c.granted.Sub(c.begun)
	c.s.logger.Log("event", "route", "request", c.call.ID, "organisation", c.auth.organisation, "model", c.call.Model, "server", grant.Server, "reason", grant.Reason, "priority", grant.Priority, "queued", c.ending.Queued, "attempt", c.attempts)
	err = c.answer(ctx, grant)
	result = c.result(err)
	return err
}

func (c *completion) result(err error) dispatch.Result {
	return dispatch.Result{
		OutputTokens: galenastair.Tokens(c.chunks),
		Failed:       err != nil && !errors.Is(err, context.Canceled),
	}
}

// answer sends the request to the granted backend server and passes on its
// answer, over as many connections as it takes.
func (c *completion) answer(ctx context.Context, grant *dispatch.Grant) error {
	stream, err := c.s.engine.Complete(ctx, grant.Address, galenastair.Completion{
		ID:       c.call.ID,
		Model:    c.call.Model,
		Chat:     c.call.Chat,
		Body:     c.call.Body,
		Priority: grant.Priority,
	})
	c.reached = !notRun(err)
	c.sent = c.sent || c.reached
	if err == nil {
		err = c.pass(stream)
	}
	for err != nil && decide(c.progress, err) == resumeAnswer {
		err = c.resume(ctx, grant, err)
	}
	if err != nil && ctx.Err() != nil && c.sent {
		c.stopEngine(grant)
	}
	return err
}

// resume goes on with an answer on a new connection: the old one may have been
// silent for good while new ones work.
func (c *completion) resume(ctx context.Context, grant *dispatch.Grant, failed error) error {
	c.resumes++
	c.s.logger.Log("event", "resume", "request", c.call.ID, "server", grant.Server, "after", c.chunks, "cause", failed)
	stream, err := c.s.engine.Resume(ctx, grant.Address, c.call.ID, c.chunks)
	if err == nil {
		return c.pass(stream)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	// the engine is gone or no longer knows the answer: the cut stands
	c.resumes = maxResumes
	return failed
}

func (c *completion) pass(stream galenastair.AnswerStream) error {
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := c.passChunk(chunk); err != nil {
			return err
		}
	}
}

func (c *completion) passChunk(chunk galenastair.Chunk) error {
	c.noteTime()
	c.noteUsage(chunk.Data)
	if err := c.sink.Chunk(chunk); err != nil {
		return context.Canceled
	}
	if !chunk.End {
		c.chunks = chunk.Sequence
	}
	return nil
}

func (c *completion) noteTime() {
	c.last = c.s.clock.Now()
	if c.first.IsZero() {
		c.first = c.last
		c.grant.FirstToken()
	}
}

// usageMark stands in the one event that carries the token counts.
var usageMark = []byte(`"usage":{`)

type usageEvent struct {
	Usage struct {
		PromptTokens     galenastair.Tokens `json:"prompt_tokens"`
		CompletionTokens galenastair.Tokens `json:"completion_tokens"`
	} `json:"usage"`
}

func (c *completion) noteUsage(data []byte) {
	if !bytes.Contains(data, usageMark) {
		return
	}
	var u usageEvent
	if json.Unmarshal(data, &u) == nil {
		c.s.estimator.observe(c.call.Model, len(c.call.Prompt), u.Usage.PromptTokens)
		c.ending.Used = u.Usage.PromptTokens + u.Usage.CompletionTokens
	}
}

// stopEngine frees the engine's memory of an answer that nobody reads any more.
func (c *completion) stopEngine(grant *dispatch.Grant) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := c.s.engine.Cancel(ctx, grant.Address, c.call.ID); err != nil {
		c.s.logger.Log("event", "cancel", "request", c.call.ID, "server", grant.Server, "err", err)
	}
}

func (c *completion) record(err error) {
	e := c.ending
	e.Attempts = c.attempts
	e.Total = c.s.clock.Now().Sub(c.begun)
	e.Outcome = galenastair.Ran
	var r *galenastair.Refusal
	if errors.As(err, &r) {
		e.Code = r.Code()
		e.Outcome = r.Outcome
	}
	if !c.first.IsZero() {
		e.FirstToken = c.first.Sub(c.begun)
		if c.chunks > 1 {
			e.BetweenToken = c.last.Sub(c.first) / time.Duration(c.chunks-1)
		}
	}
	c.s.recorder.RequestEnded(e)
	if err != nil {
		c.s.logger.Log("event", "refuse", "request", c.call.ID, "organisation", e.Organisation, "model", c.call.Model, "code", e.Code, "outcome", e.Outcome, "cause", err)
	}
}
