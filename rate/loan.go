package rate

import (
	"time"

	"galenastair"
)

const (
	// LoanTerm is how long a borrower may spend a loan, counted from when it sent
	// its request: long enough to save messages for an organisation with a few
	// requests a second at one entry, short enough that a lost answer keeps tokens
	// from the organisation for two seconds at most.
	LoanTerm = 2 * time.Second
	// occupiedTerm is how long the giver counts it, from when it lent: longer by
	// what two clocks may drift apart (1 in 64 is far beyond any that still works).
	occupiedTerm = LoanTerm + LoanTerm/64
)

// LoanNumber numbers the loans that one instance has asked for.
type LoanNumber uint64

// LoanID names a loan; the borrower chooses it, so that a repeated request gets the same loan.
type LoanID struct {
	Borrower galenastair.InstanceID
	Number   LoanNumber
}

// Account names one holder's share of one organisation.
type Account struct {
	Organisation galenastair.Organisation
	Slot         Slot
}

// Ask requests a loan.
type Ask struct {
	Account Account
	ID      LoanID
	// Need is the least that is of use, and Want the most that is asked for.
	Need galenastair.Tokens
	Want galenastair.Tokens
}

// Offer answers an Ask.
type Offer struct {
	// Serves is unset if the instance that was asked does not hold the share.
	Serves bool
	Tokens galenastair.Tokens
	// State is what the share has after the loan.
	State State
}

// State is what a holder says of a share, so that a refused caller can be told when to come back.
type State struct {
	Available galenastair.Tokens
	Share     Share
	// Delay is how long nothing comes in yet, after a takeover.
	Delay time.Duration
}

// Report closes a loan, or corrects downwards what was spent of a closed one.
type Report struct {
	Account Account
	ID      LoanID
	Spent   galenastair.Tokens
}
