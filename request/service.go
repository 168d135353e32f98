package request

import (
	"context"
	"errors"
	"io"
	"slices"

	"galenastair"
	"galenastair/claim"
)

// serviceTokens is what one call to a plain service is charged: services answer
// in milliseconds and produce no tokens, but a flood of calls is bounded by the
// same contract.
const serviceTokens galenastair.Tokens = 1

// CallService carries one call to a plain service; the caller closes the answer's body.
func (s *Server) CallService(ctx context.Context, call ServiceCall) (galenastair.ServiceAnswer, error) {
	c := &serviceRun{s: s, call: call}
	c.idempotent = call.Repeatable()
	// an answer of a plain service cannot be resumed
	c.resumes = maxResumes
	begun := s.clock.Now()
	answer, err := c.admit(ctx)
	ending := Ending{ID: call.ID, Organisation: c.auth.organisation, Service: call.Service, Outcome: galenastair.Ran, Attempts: c.attempts}
	ending.BackendServer = c.server
	ending.Total = s.clock.Now().Sub(begun)
	if err != nil {
		r := refusalOf(err, c.outcome())
		ending.Code, ending.Outcome = r.Code(), r.Outcome
		s.logger.Log("event", "refuse", "request", call.ID, "organisation", c.auth.organisation, "service", call.Service, "code", ending.Code, "outcome", ending.Outcome, "cause", err)
		err = r
	}
	s.recorder.RequestEnded(ending)
	return answer, err
}

// serviceRun is one call under way.
type serviceRun struct {
	s    *Server
	call ServiceCall
	auth authority
	progress
	server galenastair.BackendServerID
	tried  []galenastair.BackendServerID
}

func (c *serviceRun) admit(ctx context.Context) (galenastair.ServiceAnswer, error) {
	auth, err := c.s.mayServe(c.call.Key)
	if err != nil {
		return galenastair.ServiceAnswer{}, err
	}
	c.auth = auth
	if !auth.contract.PermitsService(c.call.Service) {
		return galenastair.ServiceAnswer{}, galenastair.Refuse(galenastair.ErrNotPermitted, 0, string(c.call.Service))
	}
	if c.call.IdempotencyKey == "" {
		return c.charged(ctx)
	}
	target := c.call.Method + " " + string(c.call.Service) + c.call.Path + "?" + c.call.Query
	d := claim.DigestOf(auth.organisation, target, c.call.Body)
	claim, err := c.s.begin(ctx, auth.organisation, c.call.IdempotencyKey, d, c.call.ID)
	if err != nil {
		return galenastair.ServiceAnswer{}, err
	}
	answer, err := c.charged(ctx)
	if err == nil {
		claim.Finish(galenastair.Ran)
	} else {
		claim.Finish(refusalOf(err, c.outcome()).Outcome)
	}
	return answer, err
}

func (c *serviceRun) charged(ctx context.Context) (galenastair.ServiceAnswer, error) {
	charge, err := c.s.charge(ctx, c.auth.organisation, serviceTokens, c.call.ID)
	if err != nil {
		return galenastair.ServiceAnswer{}, err
	}
	answer, err := c.run(ctx)
	if err != nil && c.outcome() == galenastair.NotRun {
		charge.Settle(0)
	} else {
		charge.Settle(serviceTokens)
	}
	return answer, err
}

func (c *serviceRun) run(ctx context.Context) (galenastair.ServiceAnswer, error) {
	ctx, end := c.s.active.Begin(ctx, c.call.Key)
	for {
		answer, err := c.attempt(ctx)
		if err == nil {
			answer.Body = &endingBody{ReadCloser: answer.Body, end: end}
			return answer, nil
		}
		if err := c.next(ctx, err); err != nil {
			err = cause(ctx, err)
			end()
			return galenastair.ServiceAnswer{}, err
		}
	}
}

func (c *serviceRun) next(ctx context.Context, err error) error {
	var refused *galenastair.Refusal
	if errors.As(err, &refused) || decide(c.progress, err) != tryElsewhere {
		return err
	}
	if !c.s.retries.MayRetry() {
		return err
	}
	c.s.logger.Log("event", "retry", "request", c.call.ID, "organisation", c.auth.organisation, "service", c.call.Service, "failed", c.server, "cause", err)
	return ctx.Err()
}

func (c *serviceRun) attempt(ctx context.Context) (galenastair.ServiceAnswer, error) {
	grant, err := c.s.services.Choose(c.call.Service, c.tried)
	if err != nil {
		return galenastair.ServiceAnswer{}, err
	}
	if _, err := c.s.mayServe(c.call.Key); err != nil {
		grant.Release()
		return galenastair.ServiceAnswer{}, err
	}
	c.attempts++
	c.tried = append(slices.Clip(c.tried), grant.Server)
	c.server = grant.Server
	c.s.logger.Log("event", "route", "request", c.call.ID, "organisation", c.auth.organisation, "service", c.call.Service, "server", grant.Server, "reason", grant.Reason, "attempt", c.attempts)
	answer, err := c.s.service.Call(ctx, grant.Address, c.call.ServiceCall)
	c.sent = c.sent || !notRun(err)
	if err != nil {
		grant.Release()
		return galenastair.ServiceAnswer{}, err
	}
	answer.Body = &endingBody{ReadCloser: answer.Body, end: grant.Release}
	return answer, nil
}

// endingBody runs a function once the answer has been read to its end or dropped.
type endingBody struct {
	io.ReadCloser
	end func()
}

// Close closes the body and runs the function.
func (b *endingBody) Close() error {
	err := b.ReadCloser.Close()
	if b.end != nil {
		b.end()
		b.end = nil
	}
	return err
}
