package rate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"galenastair"
)

// world is one share, its present holder, and borrowers joined by a network that
// loses, delays, repeats and reorders; shares do not touch each other, so what
// holds for each holds for their sum. Borrowers' clocks run slow by one part in
// a hundred, which is what occupiedTerm allows for.
type world struct {
	t       *rapid.T
	start   time.Time
	now     time.Time
	holder  *Holder
	number  LoanNumber
	net     []func()
	loans   []*borrowed
	charges []*modelCharge
	share   Share
	// prompt makes this world's messages arrive at once, so that long stories are met too.
	prompt bool
}

type modelCharge struct {
	grant  Grant
	pieces []piece
}

// worldsPerCheck makes up for the few checks that rapid runs by default.
const worldsPerCheck = 50

var modelAccount = Account{nursery, 0}

func newWorld(t *rapid.T) *world {
	start := time.Unix(1000, 0)
	w := &world{t: t, start: start, now: start}
	w.prompt = rapid.Bool().Draw(t, "prompt")
	w.share.Burst = 200
	w.share.Rate = rapid.SampledFrom([]ShareRate{150, 600, 15000}).Draw(t, "rate")
	w.takeover()
	w.now = w.now.Add(10 * time.Second)
	return w
}

func (w *world) send(m func()) {
	if w.prompt {
		m()
		return
	}
	w.net = append(w.net, m)
}

func (w *world) borrowerTime() time.Time {
	elapsed := w.now.Sub(w.start)
	return w.start.Add(elapsed - elapsed/100)
}

func (w *world) ask() {
	w.number++
	need := rapid.SampledFrom([]galenastair.Tokens{20, 100, 200}).Draw(w.t, "need")
	a := Ask{modelAccount, LoanID{"entry", w.number}, need, 2 * need}
	sent := w.borrowerTime()
	answered := false
	w.send(func() {
		// whoever holds the share when the message arrives answers it
		offer := w.holder.Lend(w.now, a)
		w.send(func() {
			if !answered && offer.Tokens > 0 {
				answered = true
				w.loans = append(w.loans, newBorrowed(offer, a.Account, a.ID, galenastair.Peer{}, sent))
			}
		})
	})
}

func (w *world) report(b *borrowed) {
	r := b.report()
	w.send(func() { w.holder.Settle(w.now, r) })
}

func (w *world) deliver() {
	if len(w.net) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.net)-1).Draw(w.t, "message")
	m := w.net[i]
	if rapid.IntRange(0, 9).Draw(w.t, "again") > 0 {
		w.net = append(w.net[:i:i], w.net[i+1:]...)
	}
	if rapid.IntRange(0, 9).Draw(w.t, "lost") > 0 {
		m()
	}
}

func (w *world) spend() {
	c := &cache{loans: w.loans}
	now := w.borrowerTime()
	n := c.usable(now)
	if n == 0 {
		return
	}
	n = rapid.SampledFrom([]galenastair.Tokens{n, n/2 + 1}).Draw(w.t, "tokens")
	pieces, _ := c.spend(now, n)
	id := galenastair.RequestID(fmt.Sprint("r", len(w.charges)))
	w.charges = append(w.charges, &modelCharge{Grant{Request: id, At: w.now, Tokens: n}, pieces})
}

// settle gives back a part of an earlier charge, maybe long after.
func (w *world) settle() {
	if len(w.charges) == 0 {
		return
	}
	c := w.charges[rapid.IntRange(0, len(w.charges)-1).Draw(w.t, "charge")]
	for i := range c.pieces {
		p := &c.pieces[i]
		back := rapid.SampledFrom([]galenastair.Tokens{p.tokens, p.tokens / 2}).Draw(w.t, "back")
		p.tokens -= back
		c.grant.Tokens -= back
		if p.loan.restore(back) {
			w.report(p.loan)
		}
	}
}

func (w *world) close() {
	if len(w.loans) > 0 {
		w.report(w.loans[rapid.IntRange(0, len(w.loans)-1).Draw(w.t, "loan")])
	}
}

// handOver ends the present holder; its successor hears of it now, late or never.
func (w *world) handOver() {
	h, ok := w.holder.HandOver(w.now, modelAccount)
	successor := NewHolder()
	w.holder = successor
	w.send(func() {
		if ok && !successor.Has(modelAccount) {
			ok = false
			successor.TakeOver(w.now, h, w.share)
		}
	})
}

func (w *world) takeover() {
	w.holder = NewHolder()
	w.holder.Open(w.now, modelAccount, w.share)
}

func (w *world) change() {
	share := w.share
	if rapid.Bool().Draw(w.t, "less") {
		share.Burst /= 2
		share.Rate /= 2
	}
	w.holder.Change(w.now, modelAccount, share)
}

// actions returns what can happen; some worlds never do some of it, and so do more of the rest.
func (w *world) actions() []func() {
	all := []func(){w.ask, w.deliver, w.spend, w.settle, w.close, w.wait, w.takeover, w.change, w.handOver}
	usual := []int{6, 12, 6, 3, 3, 5, 1, 1, 1}
	var list []func()
	for i, action := range all {
		n := usual[i]
		if i == 1 && w.prompt || i >= 3 && rapid.Bool().Draw(w.t, "without") {
			n = 0
		}
		for range n {
			list = append(list, action)
		}
	}
	return list
}

func (w *world) wait() {
	w.now = w.now.Add(rapid.SampledFrom(steps).Draw(w.t, "time"))
}

// steps are the times that matter: within a loan, just at its end, and until a bucket is full.
var steps = []time.Duration{
	time.Millisecond, 10 * time.Millisecond, 500 * time.Millisecond, time.Second, LoanTerm, 5 * time.Second,
}

// A user sees an organisation get more than its contract: entries lose answers,
// repeat requests, hold loans past a takeover, settle charges a minute late, and
// each time the same tokens are spent twice.
//
// Seen caught, each rule switched off by itself: a loan does not occupy its
// giver's capacity (Lend without lent); a loan counts from the answer, not from
// the request; occupiedTerm equal to LoanTerm; Open fills at once; a refund is
// limited by the present room alone (no rooms.least, no rooms.note in Close); a
// repeated report gives back again; a closed loan, or one past its deadline, is
// spent on; a bucket fills beyond its room; what a holder had lent is not told to
// the one that takes over from it; a share handed over before it fills does so at once.
func TestShareIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range worldsPerCheck {
			w := newWorld(t)
			actions := w.actions()
			for range rapid.IntRange(50, 250).Draw(t, "steps") {
				rapid.SampledFrom(actions).Draw(t, "action")()
			}
			if err := CheckHistory(w.history(), Contract{Rate: galenastair.TokensPerSecond(w.share.Rate) / Holders, Burst: w.share.Burst}); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func (w *world) history() []Grant {
	var history []Grant
	for _, c := range w.charges {
		history = append(history, c.grant)
	}
	return history
}
