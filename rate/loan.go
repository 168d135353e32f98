package rate

import (
	"time"

	"galenastair"
)

const (
	// LoanTTL is how long a borrower may spend a loan, counted from when it sent its
	// request. It is long enough to save messages for an organisation that sends a few
	// requests a second to one entry, and limits to two seconds the time for which a
	// lost response withholds tokens from the organisation.
	LoanTTL = 2 * time.Second
	// holderLoanTTL is how long the holder counts a loan as lent, from when it granted
	// it. It exceeds LoanTTL by the drift allowed between two clocks; 1 in 64 is far
	// more than that of any working clock.
	holderLoanTTL = LoanTTL + LoanTTL/64
)

// LoanNumber identifies a loan among those that one instance has requested.
type LoanNumber uint64

// LoanID identifies a loan. The borrower chooses it, so that a repeated request gets
// the same loan.
type LoanID struct {
	Borrower galenastair.InstanceID
	Number   LoanNumber
}

// ShareID identifies one share of one organisation's contract.
type ShareID struct {
	Organisation galenastair.Organisation
	Slot         Slot
}

// LoanRequest asks a holder for a loan.
type LoanRequest struct {
	ShareID ShareID
	ID      LoanID
	// Need is the minimum number of tokens, and Want the maximum.
	Need galenastair.Tokens
	Want galenastair.Tokens
}

// LoanResponse answers a LoanRequest.
type LoanResponse struct {
	// Serves is false if the instance does not serve the share.
	Serves bool
	Tokens galenastair.Tokens
	// State is the state of the share after the loan.
	State ShareState
}

// ShareState is the state of a share as its holder reports it. It is used to compute
// RetryAfter for refused callers.
type ShareState struct {
	Available galenastair.Tokens
	Limits    Limits
	// Delay is the time until the bucket refills, after a takeover or while
	// available and lent tokens fill it.
	Delay time.Duration
}

// Report closes a loan, or lowers the number of spent tokens of a closed one.
type Report struct {
	ShareID ShareID
	ID      LoanID
	Spent   galenastair.Tokens
}
