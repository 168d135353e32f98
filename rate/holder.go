package rate

import (
	"time"

	"galenastair"
)

const (
	// settleTerm is how long a holder takes corrections of a closed loan: as long
	// as the longest answer may take to stream. Later ones are lost to the organisation.
	settleTerm = 10 * time.Minute
	// closedLimit bounds the memory of one account (146 bytes a loan).
	closedLimit = 8192
	// advanceDivisor bounds what is lent beyond the need to a part of what is
	// left, so that one entry's demand leaves the others enough to go on.
	advanceDivisor = 4
)

// Holder keeps the accounts that one instance holds.
//
// It does not know who holds what: its owner opens an account once the former
// holder's right has ended, drops it with its own, and checks its lease right
// before each call of Lend.
type Holder struct {
	accounts map[Account]*account
}

type account struct {
	bucket *Bucket
	start  time.Time
	loans  map[LoanID]*given
	// open and closed hold the loans in the order of their ends.
	open   []*given
	closed []*given
}

// given is a loan as its giver sees it.
type given struct {
	id     LoanID
	tokens galenastair.Tokens
	spent  galenastair.Tokens
	until  time.Time
	closed bool
	mark   Mark
}

// NewHolder returns a holder without accounts.
func NewHolder() *Holder { return &Holder{accounts: make(map[Account]*account)} }

// Open starts an account as a takeover: empty, and filling only once every loan
// of the former holder has ended.
//
// The former holder may have lent all it had just before its lease ended, and a
// loan outlives its giver. What the new one let in meanwhile would come on top.
func (h *Holder) Open(now time.Time, a Account, s Share) {
	start := now.Add(occupiedTerm)
	h.accounts[a] = newAccount(NewBucket(s, start), start)
}

func newAccount(b *Bucket, start time.Time) *account {
	return &account{bucket: b, start: start, loans: make(map[LoanID]*given)}
}

// Has says that the account is open.
func (h *Holder) Has(a Account) bool { return h.accounts[a] != nil }

// Drop forgets an account.
func (h *Holder) Drop(a Account) { delete(h.accounts, a) }

// Change puts another share in force.
func (h *Holder) Change(now time.Time, a Account, s Share) {
	if acc := h.accounts[a]; acc != nil {
		acc.expire(now)
		acc.bucket.Change(now, s)
	}
}

// Lend grants a loan of at least the need, or nothing; asked again it answers the same.
func (h *Holder) Lend(now time.Time, ask Ask) Offer {
	acc := h.accounts[ask.Account]
	if acc == nil {
		return Offer{}
	}
	acc.expire(now)
	if g := acc.loans[ask.ID]; g != nil {
		return acc.repeat(now, g)
	}
	n := acc.amount(now, ask)
	if n <= 0 || !acc.bucket.Lend(now, n) {
		return Offer{Serves: true, State: acc.state(now)}
	}
	g := &given{id: ask.ID, tokens: n, until: now.Add(occupiedTerm)}
	acc.loans[ask.ID] = g
	acc.open = append(acc.open, g)
	return Offer{Serves: true, Tokens: n, State: acc.state(now)}
}

// repeat answers a request whose first answer may have been lost.
func (a *account) repeat(now time.Time, g *given) Offer {
	offer := Offer{Serves: true, State: a.state(now)}
	if !g.closed {
		offer.Tokens = g.tokens
	}
	return offer
}

func (a *account) amount(now time.Time, ask Ask) galenastair.Tokens {
	left := a.bucket.Available(now) - ask.Need
	if ask.Need < 0 || left < 0 {
		return 0
	}
	return ask.Need + min(max(ask.Want-ask.Need, 0), left/advanceDivisor)
}

// state tells when tokens come in again: a bucket whose whole room is lent waits
// for the report on a loan first.
func (a *account) state(now time.Time) State {
	s := State{
		Available: a.bucket.Available(now),
		Share:     a.bucket.share,
		Delay:     max(a.start.Sub(now), 0),
	}
	if a.bucket.full() {
		s.Delay = max(s.Delay, reportAfter)
	}
	return s
}

// Settle takes in a report; reports may be repeated, late and out of order.
func (h *Holder) Settle(now time.Time, r Report) {
	acc := h.accounts[r.Account]
	if acc == nil {
		return
	}
	acc.expire(now)
	g := acc.loans[r.ID]
	if g == nil || r.Spent < 0 || r.Spent > g.tokens {
		return
	}
	if !g.closed {
		acc.end(now, g, r.Spent)
		return
	}
	if r.Spent < g.spent {
		acc.bucket.Refund(now, g.spent-r.Spent, g.mark)
		g.spent = r.Spent
	}
}

// Expire ends what has run out in all accounts.
func (h *Holder) Expire(now time.Time) {
	for _, acc := range h.accounts {
		acc.expire(now)
	}
}

// expire ends the loans that nobody has reported on, as spent in whole.
func (a *account) expire(now time.Time) {
	for len(a.open) > 0 && (a.open[0].closed || !now.Before(a.open[0].until)) {
		g := a.open[0]
		a.open = a.open[1:]
		if !g.closed {
			a.end(now, g, g.tokens)
		}
	}
	for len(a.closed) > 0 && (len(a.closed) > closedLimit || !now.Before(a.closed[0].until)) {
		delete(a.loans, a.closed[0].id)
		a.closed = a.closed[1:]
	}
}

func (a *account) end(now time.Time, g *given, spent galenastair.Tokens) {
	g.mark = a.bucket.Close(now, g.tokens, spent)
	g.spent = spent
	g.closed = true
	g.until = now.Add(settleTerm)
	a.closed = append(a.closed, g)
}
