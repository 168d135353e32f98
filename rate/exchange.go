package rate

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"galenastair"
	"galenastair/peer/ratepb"
)

// flushLimit bounds the calls that one round of reports has open, so that a
// zone that does not answer holds up a round by a few timeouts at most.
const flushLimit = 16

// ask borrows from one holder and puts the loan into the cache.
func (l *Limiter) ask(ctx context.Context, p place, need, want galenastair.Tokens, w *wanted) (Offer, error) {
	offer, loan, err := l.request(ctx, p, need, want)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && offer.Serves {
		w.cache.last[p.account.Slot] = heard{offer.State, l.clock.Now()}
	}
	if loan != nil {
		w.cache.add(loan)
	}
	return offer, err
}

// reserve borrows from one holder for a request that needs several; it returns nil without a loan.
func (l *Limiter) reserve(ctx context.Context, p place, n galenastair.Tokens) *borrowed {
	_, loan, _ := l.request(ctx, p, n, n)
	return loan
}

func (l *Limiter) request(ctx context.Context, p place, need, want galenastair.Tokens) (Offer, *borrowed, error) {
	self := l.duties().Self()
	id := l.nextID(self)
	sent := l.clock.Now()
	var offer Offer
	var err error
	if p.holder.ID == self.ID {
		// a loan from this instance to itself saves no message: nothing is borrowed in advance
		offer = l.lender.lend(l.clock.Now(), Ask{Account: p.account, ID: id, Need: need, Want: need})
	} else {
		offer, err = l.remote(ctx, p, Ask{Account: p.account, ID: id, Need: need, Want: want})
	}
	if err != nil || offer.Tokens == 0 {
		return offer, nil, err
	}
	return offer, newBorrowed(offer, p.account, id, p.holder, sent), nil
}

func (l *Limiter) nextID(self galenastair.Peer) LoanID {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	return LoanID{Borrower: self.ID, Number: l.number}
}

// remote asks another instance and takes waiting reports along.
//
// When the answer is lost, tokens may have been lent: the report that nothing
// of the loan was or will be spent frees them, unless it is lost as well.
func (l *Limiter) remote(ctx context.Context, p place, a Ask) (Offer, error) {
	l.mu.Lock()
	out := l.outbox.take(p.holder.ID)
	l.mu.Unlock()
	reply, err := l.call(ctx, p.holder, a.ID.Borrower, message{asks: []Ask{a}, out: out})
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := l.clock.Now()
		l.suspects[p.holder.ID] = now.Add(suspectTerm)
		nothing := Report{Account: a.Account, ID: a.ID}
		l.outbox.add(now, p.holder, queued{nothing, now}, now)
		return Offer{}, err
	}
	return toOffer(reply), nil
}

// message is what one call carries.
type message struct {
	asks      []Ask
	out       *outgoing
	handovers []Handover
}

// call sends one message; reports that did not arrive are queued again.
func (l *Limiter) call(ctx context.Context, to galenastair.Peer, self galenastair.InstanceID, m message) (*ratepb.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	l.metrics.messages.Inc()
	reply, err := l.connect(to).Exchange(ctx, toRequest(self, m))
	if err != nil {
		l.requeue(m.out)
		return nil, err
	}
	l.lender.learn(to.ID, galenastair.Offset(reply.Folded))
	return reply, nil
}

func (l *Limiter) requeue(out *outgoing) {
	if out == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, q := range out.reports {
		l.outbox.add(now, out.holder, q, now.Add(reportAfter))
	}
}

// Poll brings the shares that this instance holds up to date.
func (l *Limiter) Poll(ctx context.Context) {
	peers, released := l.lender.poll(l.clock.Now())
	l.handOver(ctx, released)
	self := l.duties().Self()
	var g errgroup.Group
	g.SetLimit(flushLimit)
	for _, p := range peers {
		g.Go(func() error {
			_, err := l.call(ctx, p, self.ID, message{})
			return err
		})
	}
	// a holder that did not answer is asked again by the next poll
	_ = g.Wait()
}

// Flush closes the loans that this instance need no longer keep and sends due reports.
func (l *Limiter) Flush(ctx context.Context) {
	now := l.clock.Now()
	l.mu.Lock()
	for o, c := range l.caches {
		l.closeFinished(now, c)
		if c.idle(now) {
			delete(l.caches, o)
		}
	}
	due := l.outbox.dueBy(now)
	l.forgetSuspects(now)
	l.mu.Unlock()
	l.send(ctx, due)
}

func (l *Limiter) send(ctx context.Context, due []*outgoing) {
	self := l.duties().Self()
	var g errgroup.Group
	g.SetLimit(flushLimit)
	for _, out := range due {
		g.Go(func() error {
			_, err := l.call(ctx, out.holder, self.ID, message{out: out})
			return err
		})
	}
	// what did not arrive is queued again
	_ = g.Wait()
}

// giveBackAll returns everything unspent, so that a planned stop costs no organisation tokens.
func (l *Limiter) giveBackAll(ctx context.Context) {
	l.mu.Lock()
	now := l.clock.Now()
	for _, c := range l.caches {
		for _, b := range c.loans {
			l.close(now, b)
		}
		c.loans = nil
	}
	due := l.outbox.dueBy(now.Add(reportLife))
	l.mu.Unlock()
	l.send(ctx, due)
}

func (l *Limiter) forgetSuspects(now time.Time) {
	for id, until := range l.suspects {
		if !now.Before(until) {
			delete(l.suspects, id)
		}
	}
}
