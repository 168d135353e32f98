package rate

import (
	"time"

	"galenastair"
)

const (
	// correctionPeriod is how long a holder accepts corrections of a closed loan, which
	// is as long as the longest answer may take to stream. Unused tokens that are
	// reported later are lost to the organisation.
	correctionPeriod = 10 * time.Minute
	// maxClosedLoans bounds the memory of one share (146 bytes per loan).
	maxClosedLoans = 8192
	// prefetchDivisor limits what is lent beyond the need to a fraction of the
	// remaining tokens, so that the demand of one entry leaves enough for the others.
	prefetchDivisor = 4
)

// Holder keeps the buckets and loans of the shares that one instance holds.
//
// It does not know the assignment. Its owner opens a share once the former holder may
// no longer lend from it, drops the share when it loses the right to it, and checks its
// lease immediately before each call of Lend.
type Holder struct {
	shares map[ShareID]*heldShare
}

type heldShare struct {
	bucket      *Bucket
	refillStart time.Time
	loans       map[LoanID]*issuedLoan
	// open and closed are ordered by expiry time.
	open   []*issuedLoan
	closed []*issuedLoan
}

// issuedLoan is a loan as the holder records it.
type issuedLoan struct {
	id        LoanID
	tokens    galenastair.Tokens
	spent     galenastair.Tokens
	expiresAt time.Time
	closed    bool
	mark      Mark
}

// NewHolder returns a holder without shares.
func NewHolder() *Holder { return &Holder{shares: make(map[ShareID]*heldShare)} }

// Open opens a share whose former holder did not hand it over. The bucket starts empty
// and refills only once every loan of the former holder has expired.
//
// The former holder may have lent all of its tokens just before its lease ended, and
// its loans outlive it. Tokens granted before they expire would be in addition to those
// loans and could exceed the contract.
func (h *Holder) Open(now time.Time, id ShareID, limits Limits) {
	start := now.Add(holderLoanTTL)
	h.shares[id] = newHeldShare(NewBucket(limits, start), start)
}

func newHeldShare(b *Bucket, start time.Time) *heldShare {
	return &heldShare{bucket: b, refillStart: start, loans: make(map[LoanID]*issuedLoan)}
}

// IsOpen reports whether the share is open.
func (h *Holder) IsOpen(id ShareID) bool { return h.shares[id] != nil }

// Drop closes a share and discards its state.
func (h *Holder) Drop(id ShareID) { delete(h.shares, id) }

// SetLimits changes the limits of a share.
func (h *Holder) SetLimits(now time.Time, id ShareID, limits Limits) {
	if share := h.shares[id]; share != nil {
		share.expire(now)
		share.bucket.SetLimits(now, limits)
	}
}

// Lend grants a loan of at least req.Need tokens, or none. A repeated request with the
// same ID gets the same loan.
func (h *Holder) Lend(now time.Time, req LoanRequest) LoanResponse {
	share := h.shares[req.ShareID]
	if share == nil {
		return LoanResponse{}
	}
	share.expire(now)
	if g := share.loans[req.ID]; g != nil {
		return share.repeatResponse(now, g)
	}
	n := share.loanAmount(now, req)
	if n <= 0 || !share.bucket.Lend(now, n) {
		return LoanResponse{Serves: true, State: share.state(now)}
	}
	g := &issuedLoan{id: req.ID, tokens: n, expiresAt: now.Add(holderLoanTTL)}
	share.loans[req.ID] = g
	share.open = append(share.open, g)
	return LoanResponse{Serves: true, Tokens: n, State: share.state(now)}
}

// repeatResponse answers a repeated request, whose first response may have been lost.
func (s *heldShare) repeatResponse(now time.Time, g *issuedLoan) LoanResponse {
	resp := LoanResponse{Serves: true, State: s.state(now)}
	if !g.closed {
		resp.Tokens = g.tokens
	}
	return resp
}

func (s *heldShare) loanAmount(now time.Time, req LoanRequest) galenastair.Tokens {
	left := s.bucket.Available(now) - req.Need
	if req.Need < 0 || left < 0 {
		return 0
	}
	return req.Need + min(max(req.Want-req.Need, 0), left/prefetchDivisor)
}

// state returns the share's state. If available and lent tokens fill the bucket, it
// refills only after a report on a loan, so Delay is at least maxReportDelay.
func (s *heldShare) state(now time.Time) ShareState {
	st := ShareState{
		Available: s.bucket.Available(now),
		Limits:    s.bucket.limits,
		Delay:     max(s.refillStart.Sub(now), 0),
	}
	if s.bucket.awaitsLoans() {
		st.Delay = max(st.Delay, maxReportDelay)
	}
	return st
}

// Settle applies a report. Reports may be repeated, delayed and reordered.
func (h *Holder) Settle(now time.Time, r Report) {
	share := h.shares[r.ShareID]
	if share == nil {
		return
	}
	share.expire(now)
	g := share.loans[r.ID]
	if g == nil || r.Spent < 0 || r.Spent > g.tokens {
		return
	}
	if !g.closed {
		share.closeLoan(now, g, r.Spent)
		return
	}
	if r.Spent < g.spent {
		share.bucket.Refund(now, g.spent-r.Spent, g.mark)
		g.spent = r.Spent
	}
}

// Expire ends expired loans of all shares.
func (h *Holder) Expire(now time.Time) {
	for _, share := range h.shares {
		share.expire(now)
	}
}

// expire closes open loans that were not reported on in time, counting them as fully
// spent, and forgets closed loans after correctionPeriod.
func (s *heldShare) expire(now time.Time) {
	for len(s.open) > 0 && (s.open[0].closed || !now.Before(s.open[0].expiresAt)) {
		g := s.open[0]
		s.open = s.open[1:]
		if !g.closed {
			s.closeLoan(now, g, g.tokens)
		}
	}
	for len(s.closed) > 0 && (len(s.closed) > maxClosedLoans || !now.Before(s.closed[0].expiresAt)) {
		delete(s.loans, s.closed[0].id)
		s.closed = s.closed[1:]
	}
}

func (s *heldShare) closeLoan(now time.Time, g *issuedLoan, spent galenastair.Tokens) {
	g.mark = s.bucket.CloseLoan(now, g.tokens, spent)
	g.spent = spent
	g.closed = true
	g.expiresAt = now.Add(correctionPeriod)
	s.closed = append(s.closed, g)
}
