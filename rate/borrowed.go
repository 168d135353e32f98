package rate

import (
	"time"

	"galenastair"
)

// returnAfter is when an entry gives back what it has not used: early enough
// that the report arrives well before the giver counts the loan as spent.
const returnAfter = LoanTerm / 2

// borrowed is a loan as its borrower sees it.
type borrowed struct {
	id       LoanID
	account  Account
	holder   galenastair.Peer
	share    Share
	tokens   galenastair.Tokens
	left     galenastair.Tokens
	deadline time.Time
	giveBack time.Time
	closed   bool
}

// newBorrowed counts the term from when the request was sent: the giver counts
// from later, so that however long an answer takes, and whichever side is
// paused, the loan ends here first.
func newBorrowed(o Offer, a Account, id LoanID, holder galenastair.Peer, sent time.Time) *borrowed {
	return &borrowed{
		id:       id,
		account:  a,
		holder:   holder,
		share:    o.State.Share,
		tokens:   o.Tokens,
		left:     o.Tokens,
		deadline: sent.Add(LoanTerm),
		giveBack: sent.Add(returnAfter),
	}
}

func (b *borrowed) usable(now time.Time) galenastair.Tokens {
	if b.closed || !now.Before(b.deadline) {
		return 0
	}
	return b.left
}

// restore takes back n tokens; it says whether the giver must be told, because the loan is closed.
func (b *borrowed) restore(n galenastair.Tokens) (report bool) {
	b.left += n
	return b.closed
}

// report is what the giver is to know; what was closed stays closed.
func (b *borrowed) report() Report {
	b.closed = true
	return Report{Account: b.account, ID: b.id, Spent: b.tokens - b.left}
}

// piece is the part of one charge that came from one loan.
type piece struct {
	loan   *borrowed
	tokens galenastair.Tokens
}
