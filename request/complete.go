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

// cancelTimeout bounds how long the goroutine of a disconnected caller is kept to
// cancel the request on the engine.
const cancelTimeout = time.Second

// completion is a model request in flight.
type completion struct {
	s      *Server
	call   Call
	writer ResponseWriter
	auth   principal
	digest claim.Digest
	// promptTokens is the estimated size of the prompt, as charged.
	promptTokens galenastair.Tokens
	requestProgress
	// delivered reports that the backend server of the last attempt may have received the request.
	delivered    bool
	summary      Summary
	startedAt    time.Time
	grantedAt    time.Time
	firstChunkAt time.Time
	lastChunkAt  time.Time
	grant        *dispatch.Grant
	tried        []galenastair.BackendServerID
	// recorded reports that the summary has been recorded.
	recorded bool
}

// Complete serves a model request and forwards the response to writer. A nil error
// means that the complete response, including its end marker, was forwarded.
func (s *Server) Complete(ctx context.Context, call Call, writer ResponseWriter) error {
	c := &completion{s: s, call: call, writer: writer, startedAt: s.clock.Now()}
	c.idempotent = call.IdempotencyKey == ""
	c.summary = Summary{ID: call.ID, Model: call.Model}
	err := c.admit(ctx)
	if err != nil {
		err = refusalOf(cancellationCause(ctx, err), c.outcome())
	}
	c.recordSummary(err)
	return err
}

// cancellationCause replaces context.Canceled by the cause of the cancellation, such
// as a withdrawn key, if there is one.
func cancellationCause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil && errors.Is(err, context.Canceled) {
		return c
	}
	return err
}

func (c *completion) admit(ctx context.Context) error {
	auth, err := c.s.authorise(c.call.Key)
	if err != nil {
		return err
	}
	c.auth = auth
	c.summary.Organisation = auth.organisation
	if !auth.contract.PermitsModel(c.call.Model) {
		return galenastair.NewRefusal(galenastair.ErrNotPermitted, 0, string(c.call.Model))
	}
	c.digest = claim.DigestOf(auth.organisation, string(c.call.Model), c.call.Body)
	if err := c.s.poison.Allow(c.s.clock.Now(), c.digest); err != nil {
		return err
	}
	return c.runWithClaim(ctx)
}

// runWithClaim takes the claim before the charge, so that a duplicate request is
// refused without being charged.
func (c *completion) runWithClaim(ctx context.Context) error {
	if c.call.IdempotencyKey == "" {
		return c.runWithCharge(ctx)
	}
	claim, err := c.s.beginClaim(ctx, c.auth.organisation, c.call.IdempotencyKey, c.digest, c.call.ID)
	if err != nil {
		return err
	}
	err = c.runWithCharge(ctx)
	if err == nil {
		claim.Finish(galenastair.OutcomeRan)
	} else {
		claim.Finish(refusalOf(err, c.outcome()).Outcome)
	}
	return err
}

func (c *completion) runWithCharge(ctx context.Context) error {
	c.promptTokens = c.s.estimator.estimateWithin(c.auth.contract.Burst-c.call.OutputTokens, c.call.Model, len(c.call.Prompt))
	tokens := c.promptTokens + c.call.OutputTokens
	debt := c.s.debts.take(c.auth.organisation, c.auth.contract.Burst-tokens)
	charge, err := c.s.charge(ctx, c.auth.organisation, tokens+debt, c.call.ID)
	if err != nil {
		c.s.debts.add(c.auth.organisation, debt)
		return err
	}
	c.summary.Charged = tokens
	err = c.run(ctx)
	c.settle(charge, debt, err)
	return err
}

// settle returns the unused part of the charge. A debt that the charge included
// remains paid.
func (c *completion) settle(charge Charge, debt galenastair.Tokens, err error) {
	if err != nil && c.outcome() == galenastair.OutcomeNotRun {
		c.summary.Used = 0
	} else {
		c.useCharged()
	}
	c.s.debts.add(c.auth.organisation, c.summary.Used-c.summary.Charged)
	charge.Settle(c.summary.Used + debt)
}

// useCharged counts the whole charge as used if the engine gave no token count, because the
// number of tokens generated after a connection failure is unknown.
func (c *completion) useCharged() {
	if c.summary.Used == 0 {
		c.summary.Used = c.summary.Charged
	}
}

func (c *completion) run(ctx context.Context) error {
	ctx, remove := c.s.active.Add(ctx, c.call.Key)
	defer remove()
	for {
		err := c.attempt(ctx)
		if err == nil {
			return nil
		}
		if err := c.checkRetry(ctx, err); err != nil {
			return cancellationCause(ctx, err)
		}
	}
}

// checkRetry returns nil if the request may be retried on another backend server.
func (c *completion) checkRetry(ctx context.Context, err error) error {
	var refused *galenastair.Refusal
	if errors.As(err, &refused) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	// A request that crashes backend servers is retried once, so that it cannot crash
	// the whole fleet.
	if c.delivered && !c.s.poison.RecordCrash(c.s.clock.Now(), claim.Crash{Digest: c.digest}) {
		return &galenastair.Refusal{Cause: galenastair.ErrPoisonRequest, Outcome: c.outcome()}
	}
	if chooseAction(c.requestProgress, err) != actionRetry {
		return err
	}
	if !c.s.retries.MayRetry() {
		return err
	}
	c.s.logger.Log("event", "retry", "request", c.call.ID, "organisation", c.auth.organisation, "model", c.call.Model, "failed", c.summary.BackendServer, "cause", err)
	return ctx.Err()
}

func (c *completion) attempt(ctx context.Context) error {
	c.delivered = false
	grant, err := c.s.dispatcher.Acquire(ctx, dispatch.Request{
		ID:           c.call.ID,
		Organisation: c.auth.organisation,
		Weight:       c.auth.contract.Rate,
		Model:        c.call.Model,
		PromptTokens: c.promptTokens,
		OutputTokens: c.call.OutputTokens,
		PrefixHashes: route.PrefixHashes(c.call.Model, c.call.Prompt),
		Deadline:     c.call.Deadline,
		Exclude:      c.tried,
	})
	if err != nil {
		return err
	}
	result := dispatch.Result{}
	defer func() { grant.Release(result) }()
	c.grant = grant
	if _, err := c.s.authorise(c.call.Key); err != nil {
		return err
	}
	c.grantedAt = c.s.clock.Now()
	c.attempts++
	c.tried = append(c.tried, grant.Server)
	c.summary.BackendServer = grant.Server
	c.summary.QueueTime = c.grantedAt.Sub(c.startedAt)
	c.s.logger.Log("event", "route", "request", c.call.ID, "organisation", c.auth.organisation, "model", c.call.Model, "server", grant.Server, "reason", grant.Reason, "priority", grant.Priority, "queued", c.summary.QueueTime, "attempt", c.attempts)
	err = c.send(ctx, grant)
	result = c.dispatchResult(err)
	return err
}

func (c *completion) dispatchResult(err error) dispatch.Result {
	return dispatch.Result{
		OutputTokens: galenastair.Tokens(c.chunks),
		Failed:       err != nil && !errors.Is(err, context.Canceled),
	}
}

// send sends the request to the granted backend server and forwards the response,
// which it resumes on new connections if necessary.
func (c *completion) send(ctx context.Context, grant *dispatch.Grant) error {
	stream, err := c.s.engine.Complete(ctx, grant.Address, galenastair.Completion{
		ID:       c.call.ID,
		Model:    c.call.Model,
		Chat:     c.call.Chat,
		Body:     c.call.Body,
		Priority: grant.Priority,
	})
	c.delivered = !hadNoEffect(err)
	c.sent = c.sent || c.delivered
	if err == nil {
		err = c.forward(stream)
	}
	for err != nil && chooseAction(c.requestProgress, err) == actionResume {
		err = c.resume(ctx, grant, err)
	}
	if err != nil && ctx.Err() != nil && c.sent {
		c.cancelOnEngine(grant)
	}
	return err
}

// resume continues a response on a new connection, since one connection may stall
// permanently while new ones work.
func (c *completion) resume(ctx context.Context, grant *dispatch.Grant, failed error) error {
	c.resumes++
	c.s.logger.Log("event", "resume", "request", c.call.ID, "server", grant.Server, "after", c.chunks, "cause", failed)
	stream, err := c.s.engine.Resume(ctx, grant.Address, c.call.ID, c.chunks)
	if err == nil {
		return c.forward(stream)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	// The engine has stopped or no longer has the response, so it cannot be resumed.
	c.resumes = maxResumes
	return failed
}

func (c *completion) forward(stream galenastair.ResponseStream) error {
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := c.forwardChunk(chunk); err != nil {
			return err
		}
	}
}

func (c *completion) forwardChunk(chunk galenastair.Chunk) error {
	c.recordChunkTime()
	c.recordUsage(chunk.Data)
	if chunk.End {
		// The caller may read the metrics as soon as it has the end of the response.
		c.useCharged()
		c.recordSummary(nil)
	}
	if err := c.writer.WriteChunk(chunk); err != nil {
		return context.Canceled
	}
	if !chunk.End {
		c.chunks = chunk.Sequence
	}
	return nil
}

func (c *completion) recordChunkTime() {
	c.lastChunkAt = c.s.clock.Now()
	if c.firstChunkAt.IsZero() {
		c.firstChunkAt = c.lastChunkAt
		c.grant.FirstToken()
	}
}

// usageField occurs only in the event that carries the token counts.
var usageField = []byte(`"usage":{`)

type usageEvent struct {
	Usage struct {
		PromptTokens     galenastair.Tokens `json:"prompt_tokens"`
		CompletionTokens galenastair.Tokens `json:"completion_tokens"`
	} `json:"usage"`
}

func (c *completion) recordUsage(data []byte) {
	if !bytes.Contains(data, usageField) {
		return
	}
	var u usageEvent
	if json.Unmarshal(data, &u) == nil {
		c.s.estimator.observe(c.call.Model, len(c.call.Prompt), u.Usage.PromptTokens)
		c.summary.Used = u.Usage.PromptTokens + u.Usage.CompletionTokens
	}
}

// cancelOnEngine cancels a response that nobody reads any more, to free its memory on
// the engine.
func (c *completion) cancelOnEngine(grant *dispatch.Grant) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := c.s.engine.Cancel(ctx, grant.Address, c.call.ID); err != nil {
		c.s.logger.Log("event", "cancel", "request", c.call.ID, "server", grant.Server, "err", err)
	}
}

func (c *completion) recordSummary(err error) {
	if c.recorded {
		return
	}
	c.recorded = true
	summary := c.summary
	summary.Attempts = c.attempts
	summary.Duration = c.s.clock.Now().Sub(c.startedAt)
	summary.Outcome = galenastair.OutcomeRan
	var refusal *galenastair.Refusal
	if errors.As(err, &refusal) {
		summary.Code = refusal.Code()
		summary.Outcome = refusal.Outcome
	}
	if !c.firstChunkAt.IsZero() {
		summary.TimeToFirstToken = c.firstChunkAt.Sub(c.startedAt)
		if c.chunks > 1 {
			summary.InterTokenLatency = c.lastChunkAt.Sub(c.firstChunkAt) / time.Duration(c.chunks-1)
		}
	}
	c.s.recorder.RequestEnded(summary)
	if err != nil {
		c.s.logger.Log("event", "refuse", "request", c.call.ID, "organisation", summary.Organisation, "model", c.call.Model, "code", summary.Code, "outcome", summary.Outcome, "cause", err)
	}
}
