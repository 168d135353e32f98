package rate

import (
	"context"
	"time"

	"galenastair"
)

// maxRefusalReuse is the longest time for which a refusal is repeated without asking
// the holders again. An organisation that sends several times its rate then costs a few
// messages a second at each entry, and requests still get returned tokens soon.
const maxRefusalReuse = 200 * time.Millisecond

// Charge deducts tokens for one request before it is sent, or returns a
// *galenastair.Refusal.
func (l *Limiter) Charge(ctx context.Context, o galenastair.Organisation, n galenastair.Tokens, id galenastair.RequestID) (*Receipt, error) {
	r, err := l.charge(ctx, o, max(n, 1), id)
	l.metrics.charged(err)
	return r, err
}

func (l *Limiter) charge(ctx context.Context, o galenastair.Organisation, n galenastair.Tokens, id galenastair.RequestID) (*Receipt, error) {
	c, ok := l.contracts().Contract(o)
	if !ok {
		return nil, galenastair.NewRefusal(galenastair.ErrNotPermitted, 0, "the organisation has no contract")
	}
	if n > c.Burst {
		return nil, galenastair.NewRefusal(galenastair.ErrExceedsBurst, 0, "")
	}
	req := &chargeRequest{organisation: o, tokens: n, request: id}
	req.cache = l.cacheFor(o, n)
	if r, err := l.chargeFromCache(req, true); r != nil || err != nil {
		return r, err
	}
	select {
	case req.cache.borrowing <- struct{}{}:
	case <-ctx.Done():
		return nil, galenastair.NewRefusal(galenastair.ErrRateUnavailable, takeoverRetryAfter, "no answer in time")
	}
	defer func() { <-req.cache.borrowing }()
	if r, err := l.chargeFromCache(req, true); r != nil || err != nil {
		return r, err
	}
	return l.borrow(ctx, req)
}

// chargeRequest is a request that is to be charged.
type chargeRequest struct {
	organisation galenastair.Organisation
	tokens       galenastair.Tokens
	request      galenastair.RequestID
	cache        *loanCache
}

func (l *Limiter) cacheFor(o galenastair.Organisation, n galenastair.Tokens) *loanCache {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.caches[o]
	if c == nil {
		c = newLoanCache()
		l.caches[o] = c
	}
	c.demand.add(l.clock.Now(), n)
	return c
}

// chargeFromCache charges the request to cached loans. If they do not suffice and
// refuse is set, it returns a recent refusal that applies to the request, if any.
func (l *Limiter) chargeFromCache(req *chargeRequest, refuse bool) (*Receipt, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if parts, ok := req.cache.spend(now, req.tokens); ok {
		return l.newReceipt(now, req, parts), nil
	}
	if refuse && now.Before(req.cache.refusedUntil) && req.tokens >= req.cache.refusedNeed {
		return nil, galenastair.NewRefusal(req.cache.refusalCause, req.cache.retryAt.Sub(now), "")
	}
	return nil, nil
}

// borrow asks the holders one after the other, nearest first. If none of them has
// enough tokens, it borrows from several.
func (l *Limiter) borrow(ctx context.Context, req *chargeRequest) (*Receipt, error) {
	bySlot, inOrder := l.rankHolders(req)
	reported := make(map[Slot]ShareState)
	for _, p := range inOrder {
		need, want := l.loanSize(req, p)
		resp, err := l.borrowFrom(ctx, p, need, want, req)
		if err != nil || !resp.Serves {
			continue
		}
		reported[p.shareID.Slot] = resp.State
		if resp.Tokens == 0 {
			continue
		}
		if r, _ := l.chargeFromCache(req, false); r != nil {
			return r, nil
		}
	}
	if r := l.borrowFromSeveral(ctx, req, bySlot, reported); r != nil {
		return r, nil
	}
	return nil, l.refuse(req, reported, len(reported) < Holders)
}

// loanSize returns the number of tokens that must be borrowed from a holder, and the
// number to request with prefetching.
func (l *Limiter) loanSize(req *chargeRequest, p shareHolder) (need, want galenastair.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	need = max(req.tokens-req.cache.available(now), 1)
	want = need
	if l.prefetchEnabled {
		want += req.cache.demand.prefetch(now, req.cache.lastStates[p.shareID.Slot].state.Limits.Burst)
	}
	return need, want
}

// borrowFromSeveral borrows from the holders in the order of their slots until the
// request is covered. If it cannot be covered, all loans are returned at once.
//
// This serves requests that are larger than one share but within the burst. Two such
// requests at two entries could each borrow a part and both fail. Because all entries
// borrow in the same order, the first one to reach slot 0 succeeds.
func (l *Limiter) borrowFromSeveral(ctx context.Context, req *chargeRequest, bySlot []shareHolder, reported map[Slot]ShareState) *Receipt {
	need := l.shortfall(req)
	var sum galenastair.Tokens
	for _, s := range reported {
		sum += s.Available
	}
	if sum < need {
		return nil
	}
	var loans []*borrowedLoan
	for _, p := range bySlot {
		part := min(need, reported[p.shareID.Slot].Available)
		if part <= 0 {
			continue
		}
		loan := l.borrowExact(ctx, p, part)
		if loan == nil {
			break
		}
		loans = append(loans, loan)
		need -= part
	}
	return l.commit(req, loans)
}

// commit adds the loans to the cache and charges the request, or returns all of the
// loans if they do not suffice.
func (l *Limiter) commit(req *chargeRequest, loans []*borrowedLoan) *Receipt {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, b := range loans {
		req.cache.add(b)
	}
	if parts, ok := req.cache.spend(now, req.tokens); ok {
		return l.newReceipt(now, req, parts)
	}
	for _, b := range loans {
		req.cache.remove(b)
		l.closeLoan(now, b)
	}
	return nil
}

// shortfall returns the number of tokens that the cached loans lack for the request.
func (l *Limiter) shortfall(req *chargeRequest) galenastair.Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(req.tokens-req.cache.available(l.clock.Now()), 0)
}

// refuse returns a refusal whose RetryAfter is the time until the tokens are available
// if no other request takes them.
func (l *Limiter) refuse(req *chargeRequest, reported map[Slot]ShareState, incomplete bool) error {
	states := make([]ShareState, 0, len(reported))
	for _, s := range reported {
		states = append(states, s)
	}
	cause := galenastair.ErrRateExceeded
	wait, ok := timeUntilAvailable(req.tokens, states)
	if !ok || incomplete {
		cause = galenastair.ErrRateUnavailable
	}
	if !ok {
		wait = takeoverRetryAfter
	}
	wait = max(wait, time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	req.cache.rememberRefusal(now, req.tokens, wait, cause)
	return galenastair.NewRefusal(cause, wait, "")
}
