package rate

import (
	"sync"
	"time"

	"galenastair"
)

// Receipt is a charge that was made.
type Receipt struct {
	limiter *Limiter
	grant   Grant
	pieces  []piece
	once    sync.Once
}

// receipt is called with the limiter's lock held.
func (l *Limiter) receipt(now time.Time, w *wanted, pieces []piece) *Receipt {
	g := Grant{
		Organisation: w.organisation,
		Request:      w.request,
		Instance:     l.duties().Self().ID,
		At:           now,
		Tokens:       w.tokens,
	}
	l.record(g)
	l.closeFinished(now, w.cache)
	return &Receipt{limiter: l, grant: g, pieces: pieces}
}

// Tokens returns what was charged.
func (r *Receipt) Tokens() galenastair.Tokens { return r.grant.Tokens }

// Settle gives back what the request did not use; only the first call counts.
func (r *Receipt) Settle(used galenastair.Tokens) {
	r.once.Do(func() { r.limiter.settle(r, max(used, 0)) })
}

// settle returns unused tokens to the loans that they came from: to the cache
// while a loan still runs here, else to its giver by the next report.
func (l *Limiter) settle(r *Receipt, used galenastair.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	refund := r.grant.Tokens - used
	if refund < 0 {
		l.metrics.underestimated.Add(float64(-refund))
	}
	for i := len(r.pieces) - 1; i >= 0 && refund > 0; i-- {
		p := r.pieces[i]
		back := min(p.tokens, refund)
		refund -= back
		if p.loan.restore(back) {
			l.close(now, p.loan)
		}
	}
	g := r.grant
	g.Tokens = min(used, g.Tokens)
	l.record(g)
}

// closeFinished ends the loans that need no longer be kept; the lock is held.
func (l *Limiter) closeFinished(now time.Time, c *cache) {
	for _, b := range c.finished(now) {
		l.close(now, b)
	}
}

// close reports what was spent of a loan, to this instance itself or by the
// outbox; the lock is held.
func (l *Limiter) close(now time.Time, b *borrowed) {
	report := b.report()
	if b.holder.ID == l.duties().Self().ID {
		l.lender.settle(now, report)
		return
	}
	l.outbox.add(now, b.holder, queued{report, now}, now.Add(l.delay(now, b)))
}

// delay is how long a report may wait for a request to the same holder that
// takes it along.
//
// Load: thousands of organisations, each with a few requests a minute at each
// entry, against one that is close to its rate. The former cost a message for
// each report that waits for nothing; the latter would be refused within its
// rate for each token that waits here.
func (l *Limiter) delay(now time.Time, b *borrowed) time.Duration {
	c := l.caches[b.account.Organisation]
	low := c != nil && c.last[b.account.Slot].low(now)
	switch {
	case low || b.tokens*largePart >= b.share.Burst:
		return 0
	case b.tokens*smallPart >= b.share.Burst:
		return reportAfter
	default:
		return reportAtLast
	}
}
