package rate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

var testShare = ShareID{testOrganisation, 0}

func openHolder(limits Limits) (*Holder, time.Time) {
	now := time.Unix(1000, 0)
	h := NewHolder()
	h.Open(now, testShare, limits)
	return h, now.Add(holderLoanTTL + time.Hour)
}

func borrow(h *Holder, now time.Time, number LoanNumber, n galenastair.Tokens) galenastair.Tokens {
	return h.Lend(now, LoanRequest{testShare, LoanID{"entry", number}, n, n}).Tokens
}

func settle(h *Holder, now time.Time, number LoanNumber, spent galenastair.Tokens) {
	h.Settle(now, Report{testShare, LoanID{"entry", number}, spent})
}

// Two charges of an organisation are settled late with large refunds. Each refund alone
// fits the bucket's headroom, but both together would return tokens that a full bucket
// would have lost. The test fails without headroomHistory.reduceSince.
func TestLateRefundsAreLimitedTogether(t *testing.T) {
	is := is.New(t)
	h, now := openHolder(Limits{Rate: 10 * Holders, Burst: 200})
	is.Equal(borrow(h, now, 1, 100), galenastair.Tokens(100))
	is.Equal(borrow(h, now, 2, 100), galenastair.Tokens(100))
	settle(h, now, 1, 100)
	settle(h, now, 2, 100)
	now = now.Add(15 * time.Second)
	is.Equal(borrow(h, now, 3, 150), galenastair.Tokens(150)) // headroom was 50
	settle(h, now, 3, 150)
	settle(h, now, 1, 0)
	settle(h, now, 2, 0)
	is.Equal(borrow(h, now, 4, 51), galenastair.Tokens(0))
	is.Equal(borrow(h, now, 5, 50), galenastair.Tokens(50))
}

// An entry repeats a loan request whose response was lost. The test fails if Lend
// grants a new loan, which wastes the first one.
func TestRepeatedRequestGetsTheSameLoan(t *testing.T) {
	is := is.New(t)
	h, now := openHolder(Limits{Rate: 1, Burst: 100})
	is.Equal(borrow(h, now, 1, 40), galenastair.Tokens(40))
	is.Equal(borrow(h, now, 1, 40), galenastair.Tokens(40))
	is.Equal(borrow(h, now, 2, 60), galenastair.Tokens(60))
	settle(h, now, 1, 0)
	is.Equal(borrow(h, now, 1, 40), galenastair.Tokens(0)) // a closed loan is not lent again
}

func TestSharesSumToTheContract(t *testing.T) {
	is := is.New(t)
	for _, c := range []Contract{{Rate: 1, Burst: 2}, {Rate: 1000, Burst: 100_001}, {}} {
		var sum Limits
		for slot := range Slot(Holders) {
			s := c.ShareLimits(slot)
			sum.Rate += s.Rate
			sum.Burst += s.Burst
		}
		is.Equal(sum, c.TotalLimits())
	}
}

func TestRetryAfterIsMinimal(t *testing.T) {
	is := is.New(t)
	third := ShareState{Available: 10, Limits: Limits{Rate: 10 * Holders, Burst: 100}}
	late := third
	late.Delay = 2 * time.Second
	wait, ok := timeUntilAvailable(110, []ShareState{third, third, late})
	is.True(ok)
	is.Equal(wait, 3400*time.Millisecond) // 44 + 44 + 24, where 3.3 s gives 43 + 43 + 23
	_, ok = timeUntilAvailable(301, []ShareState{third, third, late})
	is.True(!ok)
}

// A contract's burst is lowered while the bucket is full. The test fails without
// clampLevel.
func TestLoweredBurstRemovesTokens(t *testing.T) {
	is := is.New(t)
	h, now := openHolder(Limits{Rate: 1, Burst: 200})
	is.Equal(borrow(h, now, 1, 50), galenastair.Tokens(50))
	h.SetLimits(now, testShare, Limits{Rate: 1, Burst: 80})
	is.Equal(borrow(h, now, 2, 31), galenastair.Tokens(0))
	is.Equal(borrow(h, now, 3, 30), galenastair.Tokens(30)) // 50 are still lent
}
