package rate

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"galenastair"
	"galenastair/peer/ratepb"
)

// maxConcurrentCalls limits the calls in flight in one round of reports, so that an
// availability zone that does not answer delays a round by a few timeouts at most.
const maxConcurrentCalls = 16

// borrowFrom requests a loan from one holder and adds it to the cache.
func (l *Limiter) borrowFrom(ctx context.Context, p shareHolder, need, want galenastair.Tokens, req *chargeRequest) (LoanResponse, error) {
	resp, loan, err := l.requestLoan(ctx, p, need, want)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && resp.Serves {
		req.cache.lastStates[p.shareID.Slot] = observedState{resp.State, l.clock.Now()}
	}
	if loan != nil {
		req.cache.add(loan)
	}
	return resp, err
}

// borrowExact borrows n tokens from one holder for a request that borrows from several.
// It returns nil if it gets no loan.
func (l *Limiter) borrowExact(ctx context.Context, p shareHolder, n galenastair.Tokens) *borrowedLoan {
	_, loan, _ := l.requestLoan(ctx, p, n, n)
	return loan
}

func (l *Limiter) requestLoan(ctx context.Context, p shareHolder, need, want galenastair.Tokens) (LoanResponse, *borrowedLoan, error) {
	self := l.assignment().Self()
	id := l.nextLoanID(self)
	sent := l.clock.Now()
	var resp LoanResponse
	var err error
	if p.peer.ID == self.ID {
		// a loan from this instance to itself saves no message, so nothing is
		// prefetched
		resp = l.lender.lend(l.clock.Now(), LoanRequest{ShareID: p.shareID, ID: id, Need: need, Want: need})
	} else {
		resp, err = l.requestRemoteLoan(ctx, p, LoanRequest{ShareID: p.shareID, ID: id, Need: need, Want: want})
	}
	if err != nil || resp.Tokens == 0 {
		return resp, nil, err
	}
	return resp, newBorrowedLoan(resp, p.shareID, id, p.peer, sent), nil
}

func (l *Limiter) nextLoanID(self galenastair.Peer) LoanID {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastLoanNumber++
	return LoanID{Borrower: self.ID, Number: l.lastLoanNumber}
}

// requestRemoteLoan requests a loan from another instance and sends queued reports with
// the request.
//
// If the response is lost, the holder may have granted a loan. A report that nothing of
// it was spent frees the tokens, unless the report is lost as well.
func (l *Limiter) requestRemoteLoan(ctx context.Context, p shareHolder, req LoanRequest) (LoanResponse, error) {
	l.mu.Lock()
	batch := l.outbox.take(p.peer.ID)
	l.mu.Unlock()
	reply, err := l.call(ctx, p.peer, req.ID.Borrower, exchangeContent{loanRequests: []LoanRequest{req}, batch: batch})
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := l.clock.Now()
		l.unresponsive[p.peer.ID] = now.Add(unresponsiveTime)
		nothing := Report{ShareID: req.ShareID, ID: req.ID}
		l.outbox.add(now, p.peer, queuedReport{nothing, now}, now)
		return LoanResponse{}, err
	}
	return toLoanResponse(reply), nil
}

// exchangeContent is the content of one call to another instance.
type exchangeContent struct {
	loanRequests []LoanRequest
	batch        *reportBatch
	handovers    []Handover
}

// call sends one exchange. Reports that could not be delivered are queued again.
func (l *Limiter) call(ctx context.Context, to galenastair.Peer, self galenastair.InstanceID, content exchangeContent) (*ratepb.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	l.metrics.messages.Inc()
	reply, err := l.newClient(to).Exchange(ctx, toExchangeRequest(self, content))
	if err != nil {
		l.requeue(content.batch)
		return nil, err
	}
	l.lender.observeApplied(to.ID, galenastair.Offset(reply.Folded))
	return reply, nil
}

func (l *Limiter) requeue(batch *reportBatch) {
	if batch == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, q := range batch.reports {
		l.outbox.add(now, batch.holder, q, now.Add(maxReportDelay))
	}
}

// Reconcile brings the shares that this instance holds up to date with the assignment
// and the contracts.
func (l *Limiter) Reconcile(ctx context.Context) {
	peers, released := l.lender.reconcile(l.clock.Now())
	l.sendHandovers(ctx, released)
	self := l.assignment().Self()
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for _, p := range peers {
		g.Go(func() error {
			_, err := l.call(ctx, p, self.ID, exchangeContent{})
			return err
		})
	}
	// a holder that did not answer is asked again by the next Reconcile
	_ = g.Wait()
}

// Flush closes the loans that this instance no longer needs and sends due reports.
func (l *Limiter) Flush(ctx context.Context) {
	now := l.clock.Now()
	l.mu.Lock()
	for o, c := range l.caches {
		l.closeReturnable(now, c)
		if c.idle(now) {
			delete(l.caches, o)
		}
	}
	due := l.outbox.takeDue(now)
	l.expireUnresponsive(now)
	l.mu.Unlock()
	l.sendReports(ctx, due)
}

func (l *Limiter) sendReports(ctx context.Context, due []*reportBatch) {
	self := l.assignment().Self()
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for _, batch := range due {
		g.Go(func() error {
			_, err := l.call(ctx, batch.holder, self.ID, exchangeContent{batch: batch})
			return err
		})
	}
	// undelivered reports are queued again
	_ = g.Wait()
}

// returnAllLoans returns all unspent tokens, so that organisations lose none by a
// planned stop.
func (l *Limiter) returnAllLoans(ctx context.Context) {
	l.mu.Lock()
	now := l.clock.Now()
	for _, c := range l.caches {
		for _, b := range c.loans {
			l.closeLoan(now, b)
		}
		c.loans = nil
	}
	due := l.outbox.takeDue(now.Add(reportRetryTime))
	l.mu.Unlock()
	l.sendReports(ctx, due)
}

func (l *Limiter) expireUnresponsive(now time.Time) {
	for id, until := range l.unresponsive {
		if !now.Before(until) {
			delete(l.unresponsive, id)
		}
	}
}
