package rate

import (
	"sync"
	"time"

	"galenastair"
)

// Receipt represents the tokens that were charged for one request.
type Receipt struct {
	limiter *Limiter
	grant   Grant
	parts   []loanPart
	once    sync.Once
}

// newReceipt must be called with l.mu held.
func (l *Limiter) newReceipt(now time.Time, req *chargeRequest, parts []loanPart) *Receipt {
	g := Grant{
		Organisation: req.organisation,
		Request:      req.request,
		Instance:     l.assignment().Self().ID,
		At:           now,
		Tokens:       req.tokens,
	}
	l.onGrant(g)
	l.closeReturnable(now, req.cache)
	return &Receipt{limiter: l, grant: g, parts: parts}
}

// Tokens returns the number of charged tokens.
func (r *Receipt) Tokens() galenastair.Tokens { return r.grant.Tokens }

// Settle returns the tokens that the request did not use. Only the first call has an
// effect.
func (r *Receipt) Settle(used galenastair.Tokens) {
	r.once.Do(func() { r.limiter.settle(r, max(used, 0)) })
}

// settle returns unused tokens to the loans that they came from: to the cache while a
// loan is open here, otherwise to its holder with the next report.
func (l *Limiter) settle(r *Receipt, used galenastair.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	refund := r.grant.Tokens - used
	if refund < 0 {
		l.metrics.underestimated.Add(float64(-refund))
	}
	for i := len(r.parts) - 1; i >= 0 && refund > 0; i-- {
		p := r.parts[i]
		back := min(p.tokens, refund)
		refund -= back
		if p.loan.restore(back) {
			l.closeLoan(now, p.loan)
		}
	}
	g := r.grant
	g.Tokens = min(used, g.Tokens)
	l.onGrant(g)
}

// closeReturnable closes the loans that are used up or due to be returned. It must be
// called with l.mu held.
func (l *Limiter) closeReturnable(now time.Time, c *loanCache) {
	for _, b := range c.takeReturnable(now) {
		l.closeLoan(now, b)
	}
}

// closeLoan reports what was spent of a loan, directly if this instance is its holder,
// otherwise through the outbox. It must be called with l.mu held.
func (l *Limiter) closeLoan(now time.Time, b *borrowedLoan) {
	report := b.report()
	if b.holder.ID == l.assignment().Self().ID {
		l.lender.settle(now, report)
		return
	}
	l.outbox.add(now, b.holder, queuedReport{report, now}, now.Add(l.reportDelay(now, b)))
}

// reportDelay returns how long a report may wait to be sent along with a loan request
// to the same holder.
//
// With thousands of organisations that each send a few requests a minute to each entry,
// an immediate report costs a message of its own. For an organisation that is close to
// its rate, tokens that wait in a report cause requests within its rate to be refused.
// Reports on large loans and to shares with few tokens left are therefore sent at once.
func (l *Limiter) reportDelay(now time.Time, b *borrowedLoan) time.Duration {
	c := l.caches[b.shareID.Organisation]
	low := c != nil && c.lastStates[b.shareID.Slot].low(now)
	switch {
	case low || b.tokens*largeLoanDivisor >= b.limits.Burst:
		return 0
	case b.tokens*smallLoanDivisor >= b.limits.Burst:
		return maxReportDelay
	default:
		return maxSmallReportDelay
	}
}
