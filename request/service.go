package request

import (
	"context"
	"errors"
	"io"
	"slices"

	"galenastair"
	"galenastair/claim"
)

// serviceCallTokens is the charge for one call to a plain service. Services respond
// within milliseconds and generate no tokens; the charge subjects floods of calls to
// the rate in the organisation's contract.
const serviceCallTokens galenastair.Tokens = 1

// CallService serves one call to a plain service. The caller of CallService closes the
// body of the response.
func (s *Server) CallService(ctx context.Context, call ServiceCall) (galenastair.ServiceResponse, error) {
	c := &serviceExchange{s: s, call: call}
	c.idempotent = call.Repeatable()
	// Responses of plain services cannot be resumed.
	c.resumes = maxResumes
	startedAt := s.clock.Now()
	answer, err := c.admit(ctx)
	summary := Summary{ID: call.ID, Organisation: c.auth.organisation, Service: call.Service, Outcome: galenastair.OutcomeRan, Attempts: c.attempts}
	summary.BackendServer = c.server
	summary.Duration = s.clock.Now().Sub(startedAt)
	if err != nil {
		refusal := refusalOf(err, c.outcome())
		summary.Code, summary.Outcome = refusal.Code(), refusal.Outcome
		s.logger.Log("event", "refuse", "request", call.ID, "organisation", c.auth.organisation, "service", call.Service, "code", summary.Code, "outcome", summary.Outcome, "cause", err)
		err = refusal
	}
	s.recorder.RequestEnded(summary)
	return answer, err
}

// serviceExchange is a call to a plain service in flight.
type serviceExchange struct {
	s    *Server
	call ServiceCall
	auth principal
	requestProgress
	server galenastair.BackendServerID
	tried  []galenastair.BackendServerID
}

func (c *serviceExchange) admit(ctx context.Context) (galenastair.ServiceResponse, error) {
	auth, err := c.s.authorise(c.call.Key)
	if err != nil {
		return galenastair.ServiceResponse{}, err
	}
	c.auth = auth
	if !auth.contract.PermitsService(c.call.Service) {
		return galenastair.ServiceResponse{}, galenastair.NewRefusal(galenastair.ErrNotPermitted, 0, string(c.call.Service))
	}
	if c.call.IdempotencyKey == "" {
		return c.runWithCharge(ctx)
	}
	target := c.call.Method + " " + string(c.call.Service) + c.call.Path + "?" + c.call.Query
	d := claim.DigestOf(auth.organisation, target, c.call.Body)
	claim, err := c.s.beginClaim(ctx, auth.organisation, c.call.IdempotencyKey, d, c.call.ID)
	if err != nil {
		return galenastair.ServiceResponse{}, err
	}
	answer, err := c.runWithCharge(ctx)
	if err == nil {
		claim.Finish(galenastair.OutcomeRan)
	} else {
		claim.Finish(refusalOf(err, c.outcome()).Outcome)
	}
	return answer, err
}

func (c *serviceExchange) runWithCharge(ctx context.Context) (galenastair.ServiceResponse, error) {
	charge, err := c.s.charge(ctx, c.auth.organisation, serviceCallTokens, c.call.ID)
	if err != nil {
		return galenastair.ServiceResponse{}, err
	}
	answer, err := c.run(ctx)
	if err != nil && c.outcome() == galenastair.OutcomeNotRun {
		charge.Settle(0)
	} else {
		charge.Settle(serviceCallTokens)
	}
	return answer, err
}

func (c *serviceExchange) run(ctx context.Context) (galenastair.ServiceResponse, error) {
	ctx, remove := c.s.active.Add(ctx, c.call.Key)
	for {
		answer, err := c.attempt(ctx)
		if err == nil {
			answer.Body = &callbackBody{ReadCloser: answer.Body, onClose: remove}
			return answer, nil
		}
		if err := c.checkRetry(ctx, err); err != nil {
			err = cancellationCause(ctx, err)
			remove()
			return galenastair.ServiceResponse{}, err
		}
	}
}

func (c *serviceExchange) checkRetry(ctx context.Context, err error) error {
	var refused *galenastair.Refusal
	if errors.As(err, &refused) || chooseAction(c.requestProgress, err) != actionRetry {
		return err
	}
	if !c.s.retries.MayRetry() {
		return err
	}
	c.s.logger.Log("event", "retry", "request", c.call.ID, "organisation", c.auth.organisation, "service", c.call.Service, "failed", c.server, "cause", err)
	return ctx.Err()
}

func (c *serviceExchange) attempt(ctx context.Context) (galenastair.ServiceResponse, error) {
	grant, err := c.s.services.Choose(c.call.Service, c.tried)
	if err != nil {
		return galenastair.ServiceResponse{}, err
	}
	if _, err := c.s.authorise(c.call.Key); err != nil {
		grant.Release()
		return galenastair.ServiceResponse{}, err
	}
	c.attempts++
	c.tried = append(slices.Clip(c.tried), grant.Server)
	c.server = grant.Server
	c.s.logger.Log("event", "route", "request", c.call.ID, "organisation", c.auth.organisation, "service", c.call.Service, "server", grant.Server, "reason", grant.Reason, "attempt", c.attempts)
	answer, err := c.s.service.Call(ctx, grant.Address, c.call.ServiceRequest)
	c.sent = c.sent || !hadNoEffect(err)
	if err != nil {
		grant.Release()
		return galenastair.ServiceResponse{}, err
	}
	answer.Body = &callbackBody{ReadCloser: answer.Body, onClose: grant.Release}
	return answer, nil
}

// callbackBody is a response body that calls a function when it is closed.
type callbackBody struct {
	io.ReadCloser
	onClose func()
}

// Close closes the body and calls the function, which is called once at most.
func (b *callbackBody) Close() error {
	err := b.ReadCloser.Close()
	if b.onClose != nil {
		b.onClose()
		b.onClose = nil
	}
	return err
}
