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
	return f.limiters[entry].Charge(context.Background(), nursery, n, id)
}

func TestChargeWithinBurstAndOver(t *testing.T) {
	is := is.New(t)
	c := Contract{Rate: 100, Burst: 1000}
	f := newFleet(6, c)
	f.pass(14 * time.Second)
	_, err := charge(f, 4, 1001)
	is.True(errors.Is(err, galenastair.ErrOverBurst))
	_, err = charge(f, 4, 1000) // larger than any share
	is.NoErr(err)
	_, err = charge(f, 5, 500)
	var refusal *galenastair.Refusal
	is.True(errors.As(err, &refusal))
	is.True(errors.Is(err, galenastair.ErrRateExceeded))
	is.Equal(refusal.Outcome, galenastair.NotRun)
	f.pass(refusal.RetryAfter)
	_, err = charge(f, 5, 500)
	is.NoErr(err) // the time to come back was the truth
	is.NoErr(CheckHistory(f.history, c))
}

func (f *fleet) publish(i int, c Contract) {
	f.mu.Lock()
	f.views[i] = fakeContracts{c, c.Offset + 1}
	f.mu.Unlock()
}

func inForce(f *fleet, i int) Share {
	return f.limiters[i].lender.terms[Account{nursery, Slot(i)}].inForce
}

// An operator lowers a contract and raises it again while one holder lags. Seen
// failing with take keeping the larger share, and with raise not waiting.
func TestSmallerShareAtOnceLargerAfterAll(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, Contract{Rate: 90, Burst: 900})
	less, more := Contract{Rate: 30, Burst: 300, Offset: 5}, Contract{Rate: 300, Burst: 3000, Offset: 9}
	f.publish(0, less)
	f.poll()
	is.Equal(inForce(f, 0), less.Share(0))
	f.publish(0, more)
	f.publish(1, more)
	f.pass(10 * time.Second)
	is.Equal(inForce(f, 0), less.Share(0)) // the third still follows the first contract
	is.Equal(inForce(f, 1), Contract{Rate: 90, Burst: 900}.Share(1))
	f.publish(2, more)
	f.pass(time.Second)
	for i := range 3 {
		is.Equal(inForce(f, i), more.Share(Slot(i)))
	}
}

// A holder is killed: requests go on from the other shares at once, and from its
// successor's after the takeover. Seen failing with borrow giving up at the first
// holder that does not answer.
func TestDeadHolderIsPassedByAndReplaced(t *testing.T) {
	is := is.New(t)
	c := Contract{Rate: 300, Burst: 900}
	f := newFleet(6, c)
	f.pass(10 * time.Second)
	f.dead[f.peers[0].ID] = true
	for range 6 {
		_, err := charge(f, 3, 100) // its nearest holder is the dead one
		is.NoErr(err)
	}
	_, err := charge(f, 3, 301)
	is.True(errors.Is(err, galenastair.ErrRateUnavailable))
	f.mu.Lock()
	for i := range f.duties {
		f.duties[i].epoch++
		f.duties[i].owners[0] = f.peers[3]
	}
	f.mu.Unlock()
	f.pass(10 * time.Second)
	_, err = charge(f, 3, 900)
	is.NoErr(err)
	is.NoErr(CheckHistory(f.history, c))
}

// An account moves away and back between two looks at the epoch; what the first
// tenure left must not be lent again. Seen failing with mayHaveMoved always false.
func TestUnseenEpochEmptiesAccounts(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, Contract{Rate: 300, Burst: 900})
	f.pass(10 * time.Second)
	f.mu.Lock()
	f.duties[0].epoch += 2
	f.mu.Unlock()
	a := Account{nursery, 0}
	is.Equal(f.limiters[0].lender.lend(f.clock.Now(), Ask{a, LoanID{"x", 1}, 1, 1}).Tokens, galenastair.Tokens(0))
	f.poll()
	is.Equal(f.limiters[0].lender.lend(f.clock.Now(), Ask{a, LoanID{"x", 1}, 1, 1}).Tokens, galenastair.Tokens(0))
}

// Settled charges come back to the organisation, once.
func TestSettleGivesBackUnused(t *testing.T) {
	is := is.New(t)
	c := Contract{Rate: 1, Burst: 900}
	f := newFleet(4, c)
	f.pass(1000 * time.Second)
	r, err := charge(f, 3, 900)
	is.NoErr(err)
	r.Settle(100)
	r.Settle(0)
	f.pass(2 * time.Second)
	_, err = charge(f, 2, 803)
	is.True(err != nil)
	_, err = charge(f, 2, 800)
	is.NoErr(err)
	is.NoErr(CheckHistory(f.history, c))
}

// A holder whose lease has lapsed while it was paused still has its bucket, and
// refuses. Seen failing with lend not asking whether the account is served.
func TestHolderWithoutLeaseLendsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, Contract{Rate: 300, Burst: 900})
	f.pass(10 * time.Second)
	f.mu.Lock()
	f.duties[0].serves = false
	f.mu.Unlock()
	ask := Ask{Account{nursery, 0}, LoanID{"x", 1}, 1, 1}
	is.Equal(f.limiters[0].lender.lend(f.clock.Now(), ask).Tokens, galenastair.Tokens(0))
}

// An entry is killed and started again under its old ID within a second. Its
// first loan would be taken for the first one of the killed process, which the
// holder soon counts as over. Seen failing with numbers that start from zero.
func TestRestartedEntryGetsItsOwnLoans(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, Contract{Rate: 1, Burst: 900})
	before, after := f.limiters[3].nextID(f.peers[3]), f.limiter(3).nextID(f.peers[3])
	is.Equal(before.Borrower, after.Borrower)
	is.True(before != after)
}

// move gives the shares other holders in the next epoch; serving from words and leases
// takes them longer than this test lasts.
func (f *fleet) move(owners ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.duties {
		f.duties[i].epoch++
		f.duties[i].serves = false
		for slot, owner := range owners {
			f.duties[i].owners[slot] = f.peers[owner]
		}
	}
}

// One of three entries is stopped as planned. The shares of its organisations move, its
// own and those of the two that are left, since their places in the ranking shift. Each
// new holder waited out a promise and then every loan of the one before, and requests
// within the rate were refused for three seconds.
func TestPlannedStopKeepsTheRate(t *testing.T) {
	is := is.New(t)
	c := Contract{Rate: 3000, Burst: 9000}
	f := newFleet(3, c)
	f.pass(10 * time.Second)
	f.move(1, 2, 1)
	f.pass(2 * pollPeriod)
	var granted galenastair.Tokens
	for range 60 {
		if _, err := charge(f, 1, 100); err == nil {
			granted += 100
		}
	}
	is.True(granted >= 5700) // 6000 were asked for, and 9000 are there
	is.NoErr(CheckHistory(f.history, c))
}

// A share is handed over, and the message comes again after its new holder has lent
// from it. Filled a second time it would exceed the contract.
func TestRepeatedHandoverFillsNothing(t *testing.T) {
	is := is.New(t)
	c := Contract{Rate: 300, Burst: 9000}
	f := newFleet(3, c)
	var mu sync.Mutex // a limiter calls several holders at a time
	var again []func() (*ratepb.ExchangeReply, error)
	f.exchange = func(_ galenastair.Peer, call func() (*ratepb.ExchangeReply, error)) (*ratepb.ExchangeReply, error) {
		mu.Lock()
		again = append(again, call)
		mu.Unlock()
		return call()
	}
	f.pass(40 * time.Second)
	f.move(1, 2, 0)
	f.pass(2 * pollPeriod)
	for range 90 {
		_, err := charge(f, 1, 100)
		is.NoErr(err)
	}
	f.pass(3 * time.Second) // the loans have ended
	for _, call := range again {
		_, _ = call()
	}
	_, err := charge(f, 1, 1500)
	is.True(err != nil)
	is.NoErr(CheckHistory(f.history, c))
}
