package rate

import (
	"time"

	"galenastair"
)

// returnDelay is the time after which an entry returns the tokens that it has not used.
// The report then arrives well before the holder counts the loan as spent.
const returnDelay = LoanTTL / 2

// borrowedLoan is a loan as the borrower records it.
type borrowedLoan struct {
	id        LoanID
	shareID   ShareID
	holder    galenastair.Peer
	limits    Limits
	tokens    galenastair.Tokens
	remaining galenastair.Tokens
	deadline  time.Time
	returnAt  time.Time
	closed    bool
}

// newBorrowedLoan counts LoanTTL from when the request was sent. The holder counts from
// when it granted the loan, which is later, so the loan expires here first however long
// the response takes and whichever side is paused.
func newBorrowedLoan(resp LoanResponse, shareID ShareID, id LoanID, holder galenastair.Peer, sent time.Time) *borrowedLoan {
	return &borrowedLoan{
		id:        id,
		shareID:   shareID,
		holder:    holder,
		limits:    resp.State.Limits,
		tokens:    resp.Tokens,
		remaining: resp.Tokens,
		deadline:  sent.Add(LoanTTL),
		returnAt:  sent.Add(returnDelay),
	}
}

func (b *borrowedLoan) available(now time.Time) galenastair.Tokens {
	if b.closed || !now.Before(b.deadline) {
		return 0
	}
	return b.remaining
}

// restore returns n tokens to the loan. It reports whether the holder must be told
// because the loan is closed.
func (b *borrowedLoan) restore(n galenastair.Tokens) (report bool) {
	b.remaining += n
	return b.closed
}

// report closes the loan and returns the report for the holder.
func (b *borrowedLoan) report() Report {
	b.closed = true
	return Report{ShareID: b.shareID, ID: b.id, Spent: b.tokens - b.remaining}
}

// loanPart is the part of one charge that was taken from one loan.
type loanPart struct {
	loan   *borrowedLoan
	tokens galenastair.Tokens
}
