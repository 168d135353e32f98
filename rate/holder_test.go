package rate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

var testAccount = Account{nursery, 0}

func openHolder(s Share) (*Holder, time.Time) {
	now := time.Unix(1000, 0)
	h := NewHolder()
	h.Open(now, testAccount, s)
	return h, now.Add(occupiedTerm + time.Hour)
}

func borrow(h *Holder, now time.Time, number LoanNumber, n galenastair.Tokens) galenastair.Tokens {
	return h.Lend(now, Ask{testAccount, LoanID{"entry", number}, n, n}).Tokens
}

func settle(h *Holder, now time.Time, number LoanNumber, spent galenastair.Tokens) {
	h.Settle(now, Report{testAccount, LoanID{"entry", number}, spent})
}

// A user of one organisation cancels two long answers that were charged a minute
// ago. Each refund fits into the room by itself; both together would give tokens
// that a full bucket would have lost. Seen failing without rooms.narrow.
func TestTwoLateRefundsShareTheRoom(t *testing.T) {
	is := is.New(t)
	h, now := openHolder(Share{Rate: 10 * Holders, Burst: 200})
	is.Equal(borrow(h, now, 1, 100), galenastair.Tokens(100))
	is.Equal(borrow(h, now, 2, 100), galenastair.Tokens(100))
	settle(h, now, 1, 100)
	settle(h, now, 2, 100)
	now = now.Add(15 * time.Second)
	is.Equal(borrow(h, now, 3, 150), galenastair.Tokens(150)) // room was 50
	settle(h, now, 3, 150)
	settle(h, now, 1, 0)
	settle(h, now, 2, 0)
	is.Equal(borrow(h, now, 4, 51), galenastair.Tokens(0))
	is.Equal(borrow(h, now, 5, 50), galenastair.Tokens(50))
}

// An entry repeats a request whose answer was lost. Seen failing with Lend
// granting anew, which wastes the first loan.
func TestRepeatedRequestGetsTheSameLoan(t *testing.T) {
	is := is.New(t)
	h, now := openHolder(Share{Rate: 1, Burst: 100})
	is.Equal(borrow(h, now, 1, 40), galenastair.Tokens(40))
	is.Equal(borrow(h, now, 1, 40), galenastair.Tokens(40))
	is.Equal(borrow(h, now, 2, 60), galenastair.Tokens(60))
	settle(h, now, 1, 0)
	is.Equal(borrow(h, now, 1, 40), galenastair.Tokens(0)) // closed: lends no more
}

func TestSharesSumToTheContract(t *testing.T) {
	is := is.New(t)
	for _, c := range []Contract{{Rate: 1, Burst: 2}, {Rate: 1000, Burst: 100_001}, {}} {
		var sum Share
		for slot := range Slot(Holders) {
			s := c.Share(slot)
			sum.Rate += s.Rate
			sum.Burst += s.Burst
		}
		is.Equal(sum, c.Whole())
	}
}

func TestWaitIsTheFirstMomentThatSuffices(t *testing.T) {
	is := is.New(t)
	third := State{Available: 10, Share: Share{Rate: 10 * Holders, Burst: 100}}
	late := third
	late.Delay = 2 * time.Second
	wait, ok := waitFor(110, []State{third, third, late})
	is.True(ok)
	is.Equal(wait, 3400*time.Millisecond) // 44 + 44 + 24, where 3.3 s gives 43 + 43 + 23
	_, ok = waitFor(301, []State{third, third, late})
	is.True(!ok)
}

// A contract's burst is lowered while the bucket is full. Seen failing without trim.
func TestSmallerBurstTakesTokensAway(t *testing.T) {
	is := is.New(t)
	h, now := openHolder(Share{Rate: 1, Burst: 200})
	is.Equal(borrow(h, now, 1, 50), galenastair.Tokens(50))
	h.Change(now, testAccount, Share{Rate: 1, Burst: 80})
	is.Equal(borrow(h, now, 2, 31), galenastair.Tokens(0))
	is.Equal(borrow(h, now, 3, 30), galenastair.Tokens(30)) // 50 are still lent
}
