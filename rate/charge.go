package rate

import (
	"context"
	"time"

	"galenastair"
)

// refusalHold is the longest time for which a refusal is repeated without asking
// again. An organisation that sends several times its rate then costs a few
// messages a second at each entry, and tokens given back are seen soon.
const refusalHold = 200 * time.Millisecond

// Charge takes tokens for one request before it is sent, or returns a *galenastair.Refusal.
func (l *Limiter) Charge(ctx context.Context, o galenastair.Organisation, n galenastair.Tokens, id galenastair.RequestID) (*Receipt, error) {
	r, err := l.charge(ctx, o, max(n, 1), id)
	l.metrics.charged(err)
	return r, err
}

func (l *Limiter) charge(ctx context.Context, o galenastair.Organisation, n galenastair.Tokens, id galenastair.RequestID) (*Receipt, error) {
	c, ok := l.contracts().Contract(o)
	if !ok {
		return nil, galenastair.Refuse(galenastair.ErrNotPermitted, 0, "the organisation has no contract")
	}
	if n > c.Burst {
		return nil, galenastair.Refuse(galenastair.ErrOverBurst, 0, "")
	}
	want := &wanted{organisation: o, tokens: n, request: id}
	want.cache = l.cacheOf(o, n)
	if r, err := l.fromCache(want, true); r != nil || err != nil {
		return r, err
	}
	select {
	case want.cache.borrowing <- struct{}{}:
	case <-ctx.Done():
		return nil, galenastair.Refuse(galenastair.ErrRateUnavailable, takeoverWait, "no answer in time")
	}
	defer func() { <-want.cache.borrowing }()
	if r, err := l.fromCache(want, true); r != nil || err != nil {
		return r, err
	}
	return l.borrow(ctx, want)
}

// wanted is one request that waits for its tokens.
type wanted struct {
	organisation galenastair.Organisation
	tokens       galenastair.Tokens
	request      galenastair.RequestID
	cache        *cache
}

func (l *Limiter) cacheOf(o galenastair.Organisation, n galenastair.Tokens) *cache {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.caches[o]
	if c == nil {
		c = newCache()
		l.caches[o] = c
	}
	c.demand.add(l.clock.Now(), n)
	return c
}

// fromCache charges the request to loans that are here already, or repeats a recent refusal.
func (l *Limiter) fromCache(w *wanted, refuse bool) (*Receipt, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if pieces, ok := w.cache.spend(now, w.tokens); ok {
		return l.receipt(now, w, pieces), nil
	}
	if refuse && now.Before(w.cache.refusedUntil) && w.tokens >= w.cache.refusedNeed {
		return nil, galenastair.Refuse(w.cache.refusal, w.cache.comeBack.Sub(now), "")
	}
	return nil, nil
}

// borrow asks the holders one after the other, nearest first, then puts the
// request together from several if none has enough alone.
func (l *Limiter) borrow(ctx context.Context, w *wanted) (*Receipt, error) {
	bySlot, inOrder := l.placesOf(w)
	found := make(map[Slot]State)
	for _, p := range inOrder {
		need, want := l.missing(w, p)
		offer, err := l.ask(ctx, p, need, want, w)
		if err != nil || !offer.Serves {
			continue
		}
		found[p.account.Slot] = offer.State
		if offer.Tokens == 0 {
			continue
		}
		if r, _ := l.fromCache(w, false); r != nil {
			return r, nil
		}
	}
	if r := l.assemble(ctx, w, bySlot, found); r != nil {
		return r, nil
	}
	return nil, l.refuse(w, found, len(found) < Holders)
}

// missing returns what must be borrowed, and what is worth borrowing with it from one holder.
func (l *Limiter) missing(w *wanted, p place) (need, want galenastair.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	need = max(w.tokens-w.cache.usable(now), 1)
	want = need
	if l.advances {
		want += w.cache.demand.advance(now, w.cache.last[p.account.Slot].state.Share.Burst)
	}
	return need, want
}

// assemble borrows what each holder has, in the order of their slots, until
// the request is covered; if it never is, everything goes back at once.
//
// Load: a request larger than one share, within the burst. Two of them at two
// entries would each take a part and both fail; taking the shares in one order
// lets the first to reach slot 0 go on.
func (l *Limiter) assemble(ctx context.Context, w *wanted, bySlot []place, found map[Slot]State) *Receipt {
	need := l.uncovered(w)
	var sum galenastair.Tokens
	for _, s := range found {
		sum += s.Available
	}
	if sum < need {
		return nil
	}
	var loans []*borrowed
	for _, p := range bySlot {
		part := min(need, found[p.account.Slot].Available)
		if part <= 0 {
			continue
		}
		loan := l.reserve(ctx, p, part)
		if loan == nil {
			break
		}
		loans = append(loans, loan)
		need -= part
	}
	return l.commit(w, loans)
}

// commit puts reserved loans into the cache and charges the request, or gives them all back.
func (l *Limiter) commit(w *wanted, loans []*borrowed) *Receipt {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, b := range loans {
		w.cache.add(b)
	}
	if pieces, ok := w.cache.spend(now, w.tokens); ok {
		return l.receipt(now, w, pieces)
	}
	for _, b := range loans {
		w.cache.remove(b)
		l.close(now, b)
	}
	return nil
}

// uncovered returns what the loans that are here lack.
func (l *Limiter) uncovered(w *wanted) galenastair.Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(w.tokens-w.cache.usable(l.clock.Now()), 0)
}

// refuse says when to come back, truthfully: when the tokens are there if nothing else takes them.
func (l *Limiter) refuse(w *wanted, found map[Slot]State, unreached bool) error {
	states := make([]State, 0, len(found))
	for _, s := range found {
		states = append(states, s)
	}
	cause := galenastair.ErrRateExceeded
	wait, ok := waitFor(w.tokens, states)
	if !ok || unreached {
		cause = galenastair.ErrRateUnavailable
	}
	if !ok {
		wait = takeoverWait
	}
	wait = max(wait, time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	w.cache.hold(now, w.tokens, wait, cause)
	return galenastair.Refuse(cause, wait, "")
}
