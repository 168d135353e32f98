package rate

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/peer/ratepb"
)

func charge(f *fleet, entry int, n galenastair.Tokens) (*Receipt, error) {
	id := galenastair.RequestID(fmt.Sprint("r", f.requests.Add(1)))
	return f.limiters[entry].Charge(context.Background(), testOrganisation, n, id)
}

func TestChargeWithinBurstAndOver(t *testing.T) {
	is := is.New(t)
	c := Contract{Rate: 100, Burst: 1000}
	f := newFleet(6, c)
	f.advance(14 * time.Second)
	_, err := charge(f, 4, 1001)
	is.True(errors.Is(err, galenastair.ErrExceedsBurst))
	_, err = charge(f, 4, 1000) // larger than any share
	is.NoErr(err)
	_, err = charge(f, 5, 500)
	var refusal *galenastair.Refusal
	is.True(errors.As(err, &refusal))
	is.True(errors.Is(err, galenastair.ErrRateExceeded))
	is.Equal(refusal.Outcome, galenastair.OutcomeNotRun)
	f.advance(refusal.RetryAfter)
	_, err = charge(f, 5, 500)
	is.NoErr(err) // RetryAfter was sufficient
	is.NoErr(CheckHistory(f.history, c))
}

func (f *fleet) publish(i int, c Contract) {
	f.mu.Lock()
	f.views[i] = fakeContracts{c, c.Offset + 1}
	f.mu.Unlock()
}

func effectiveLimits(f *fleet, i int) Limits {
	return f.limiters[i].lender.owned[ShareID{testOrganisation, Slot(i)}].effective
}

// A contract is lowered and raised again while one holder applies the configuration
// late. The test fails if applyContract keeps the larger limits, or if applyIncreases
// does not wait for all holders.
func TestDecreaseIsImmediateIncreaseWaitsForAllHolders(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, Contract{Rate: 90, Burst: 900})
	lower, higher := Contract{Rate: 30, Burst: 300, Offset: 5}, Contract{Rate: 300, Burst: 3000, Offset: 9}
	f.publish(0, lower)
	f.reconcile()
	is.Equal(effectiveLimits(f, 0), lower.ShareLimits(0))
	f.publish(0, higher)
	f.publish(1, higher)
	f.advance(10 * time.Second)
	is.Equal(effectiveLimits(f, 0), lower.ShareLimits(0)) // the third holder has not applied the new contract
	is.Equal(effectiveLimits(f, 1), Contract{Rate: 90, Burst: 900}.ShareLimits(1))
	f.publish(2, higher)
	f.advance(time.Second)
	for i := range 3 {
		is.Equal(effectiveLimits(f, i), higher.ShareLimits(Slot(i)))
	}
}

// A holder fails: requests must be served from the other shares at once, and from its
// successor's after the takeover. The test fails if borrow gives up at the first holder
// that does not answer.
func TestDeadHolderIsSkippedAndReplaced(t *testing.T) {
	is := is.New(t)
	c := Contract{Rate: 300, Burst: 900}
	f := newFleet(6, c)
	f.advance(10 * time.Second)
	f.dead[f.peers[0].ID] = true
	for range 6 {
		_, err := charge(f, 3, 100) // its nearest holder is the dead one
		is.NoErr(err)
	}
	_, err := charge(f, 3, 301)
	is.True(errors.Is(err, galenastair.ErrRateUnavailable))
	f.mu.Lock()
	for i := range f.assignments {
		f.assignments[i].epoch++
		f.assignments[i].owners[0] = f.peers[3]
	}
	f.mu.Unlock()
	f.advance(10 * time.Second)
	_, err = charge(f, 3, 900)
	is.NoErr(err)
	is.NoErr(CheckHistory(f.history, c))
}

// A share is reassigned and assigned back between two reconciliations. Tokens left from
// the first assignment must not be lent again. The test fails if missedEpoch always
// returns false.
func TestMissedEpochEmptiesShares(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, Contract{Rate: 300, Burst: 900})
	f.advance(10 * time.Second)
	f.mu.Lock()
	f.assignments[0].epoch += 2
	f.mu.Unlock()
	id := ShareID{testOrganisation, 0}
	is.Equal(f.limiters[0].lender.lend(f.clock.Now(), LoanRequest{id, LoanID{"x", 1}, 1, 1}).Tokens, galenastair.Tokens(0))
	f.reconcile()
	is.Equal(f.limiters[0].lender.lend(f.clock.Now(), LoanRequest{id, LoanID{"x", 1}, 1, 1}).Tokens, galenastair.Tokens(0))
}

// Unused tokens are returned to the organisation exactly once.
func TestSettleReturnsUnusedTokens(t *testing.T) {
	is := is.New(t)
	c := Contract{Rate: 1, Burst: 900}
	f := newFleet(4, c)
	f.advance(1000 * time.Second)
	r, err := charge(f, 3, 900)
	is.NoErr(err)
	r.Settle(100)
	r.Settle(0)
	f.advance(2 * time.Second)
	_, err = charge(f, 2, 803)
	is.True(err != nil)
	_, err = charge(f, 2, 800)
	is.NoErr(err)
	is.NoErr(CheckHistory(f.history, c))
}

// A holder whose lease expired during a pause still has its bucket but must not lend
// from it. The test fails if lend does not check that the share is served.
func TestHolderWithoutLeaseLendsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, Contract{Rate: 300, Burst: 900})
	f.advance(10 * time.Second)
	f.mu.Lock()
	f.assignments[0].serves = false
	f.mu.Unlock()
	req := LoanRequest{ShareID{testOrganisation, 0}, LoanID{"x", 1}, 1, 1}
	is.Equal(f.limiters[0].lender.lend(f.clock.Now(), req).Tokens, galenastair.Tokens(0))
}

// An entry is killed and restarted with the same ID within a second. If loan numbers
// started at zero, its first loan would be taken for the first loan of the killed
// process, which the holder soon counts as expired.
func TestRestartedEntryGetsItsOwnLoans(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, Contract{Rate: 1, Burst: 900})
	before, after := f.limiters[3].nextLoanID(f.peers[3]), f.newLimiter(3).nextLoanID(f.peers[3])
	is.Equal(before.Borrower, after.Borrower)
	is.True(before != after)
}

// reassignShares assigns the shares to other holders in the next epoch. Serves stays
// false, because the time until it becomes true after a reassignment is longer than the
// tests last.
func (f *fleet) reassignShares(owners ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.assignments {
		f.assignments[i].epoch++
		f.assignments[i].serves = false
		for slot, owner := range owners {
			f.assignments[i].owners[slot] = f.peers[owner]
		}
	}
}

// One of three entries is stopped as planned. Its shares are reassigned, and so are
// those of the other two, because their positions in the ranking change. Without
// handovers each new holder waits for the former holder's lease and then for all of its
// loans to expire, and requests within the rate are refused for three seconds.
func TestPlannedStopKeepsTheRate(t *testing.T) {
	is := is.New(t)
	c := Contract{Rate: 3000, Burst: 9000}
	f := newFleet(3, c)
	f.advance(10 * time.Second)
	f.reassignShares(1, 2, 1)
	f.advance(2 * maintenanceInterval)
	var granted galenastair.Tokens
	for range 60 {
		if _, err := charge(f, 1, 100); err == nil {
			granted += 100
		}
	}
	is.True(granted >= 5700) // 6000 of 9000 available tokens are requested
	is.NoErr(CheckHistory(f.history, c))
}

// A handover is delivered again after its new holder has lent from the share. Applying
// it a second time would exceed the contract.
func TestRepeatedHandoverAddsNoTokens(t *testing.T) {
	is := is.New(t)
	c := Contract{Rate: 300, Burst: 9000}
	f := newFleet(3, c)
	var mu sync.Mutex // a limiter calls several holders at a time
	var calls []func() (*ratepb.ExchangeReply, error)
	f.exchange = func(_ galenastair.Peer, call func() (*ratepb.ExchangeReply, error)) (*ratepb.ExchangeReply, error) {
		mu.Lock()
		calls = append(calls, call)
		mu.Unlock()
		return call()
	}
	f.advance(40 * time.Second)
	f.reassignShares(1, 2, 0)
	f.advance(2 * maintenanceInterval)
	for range 90 {
		_, err := charge(f, 1, 100)
		is.NoErr(err)
	}
	f.advance(3 * time.Second) // the loans have expired
	for _, call := range calls {
		_, _ = call()
	}
	_, err := charge(f, 1, 1500)
	is.True(err != nil)
	is.NoErr(CheckHistory(f.history, c))
}
