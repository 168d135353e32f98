package rate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"galenastair"
)

// simulation is one share, its current holder, and borrowers connected by a network
// that loses, delays, repeats and reorders messages. Shares are independent of each
// other, so a limit that holds for each holds for their sum. The borrowers' clocks run
// slow by 1 part in 100, which is within the drift that holderLoanTTL allows.
type simulation struct {
	t        *rapid.T
	start    time.Time
	now      time.Time
	holder   *Holder
	number   LoanNumber
	inFlight []func()
	loans    []*borrowedLoan
	charges  []*modelCharge
	limits   Limits
	// instantDelivery delivers messages immediately, so that longer sequences of
	// operations are covered too.
	instantDelivery bool
}

type modelCharge struct {
	grant Grant
	parts []loanPart
}

// simulationsPerCheck compensates for the small number of checks that rapid runs by
// default.
const simulationsPerCheck = 50

var modelShare = ShareID{testOrganisation, 0}

func newSimulation(t *rapid.T) *simulation {
	start := time.Unix(1000, 0)
	s := &simulation{t: t, start: start, now: start}
	s.instantDelivery = rapid.Bool().Draw(t, "prompt")
	s.limits.Burst = 200
	s.limits.Rate = rapid.SampledFrom([]ShareRate{150, 600, 15000}).Draw(t, "rate")
	s.takeover()
	s.now = s.now.Add(10 * time.Second)
	return s
}

func (s *simulation) send(m func()) {
	if s.instantDelivery {
		m()
		return
	}
	s.inFlight = append(s.inFlight, m)
}

func (s *simulation) borrowerTime() time.Time {
	elapsed := s.now.Sub(s.start)
	return s.start.Add(elapsed - elapsed/100)
}

func (s *simulation) requestLoan() {
	s.number++
	need := rapid.SampledFrom([]galenastair.Tokens{20, 100, 200}).Draw(s.t, "need")
	req := LoanRequest{modelShare, LoanID{"entry", s.number}, need, 2 * need}
	sent := s.borrowerTime()
	answered := false
	s.send(func() {
		// the instance that holds the share when the message arrives answers it
		resp := s.holder.Lend(s.now, req)
		s.send(func() {
			if !answered && resp.Tokens > 0 {
				answered = true
				s.loans = append(s.loans, newBorrowedLoan(resp, req.ShareID, req.ID, galenastair.Peer{}, sent))
			}
		})
	})
}

func (s *simulation) report(b *borrowedLoan) {
	r := b.report()
	s.send(func() { s.holder.Settle(s.now, r) })
}

func (s *simulation) deliver() {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "message")
	m := s.inFlight[i]
	if rapid.IntRange(0, 9).Draw(s.t, "again") > 0 {
		s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
	}
	if rapid.IntRange(0, 9).Draw(s.t, "lost") > 0 {
		m()
	}
}

func (s *simulation) spend() {
	c := &loanCache{loans: s.loans}
	now := s.borrowerTime()
	n := c.available(now)
	if n == 0 {
		return
	}
	n = rapid.SampledFrom([]galenastair.Tokens{n, n/2 + 1}).Draw(s.t, "tokens")
	parts, _ := c.spend(now, n)
	id := galenastair.RequestID(fmt.Sprint("r", len(s.charges)))
	s.charges = append(s.charges, &modelCharge{Grant{Request: id, At: s.now, Tokens: n}, parts})
}

// settle returns a part of an earlier charge, possibly long afterwards.
func (s *simulation) settle() {
	if len(s.charges) == 0 {
		return
	}
	c := s.charges[rapid.IntRange(0, len(s.charges)-1).Draw(s.t, "charge")]
	for i := range c.parts {
		p := &c.parts[i]
		back := rapid.SampledFrom([]galenastair.Tokens{p.tokens, p.tokens / 2}).Draw(s.t, "back")
		p.tokens -= back
		c.grant.Tokens -= back
		if p.loan.restore(back) {
			s.report(p.loan)
		}
	}
}

func (s *simulation) closeLoan() {
	if len(s.loans) > 0 {
		s.report(s.loans[rapid.IntRange(0, len(s.loans)-1).Draw(s.t, "loan")])
	}
}

// handOver replaces the current holder. Its successor receives the handover
// immediately, late or never.
func (s *simulation) handOver() {
	h, ok := s.holder.HandOver(s.now, modelShare)
	successor := NewHolder()
	s.holder = successor
	s.send(func() {
		if ok && !successor.IsOpen(modelShare) {
			ok = false
			successor.OpenFromHandover(s.now, h, s.limits)
		}
	})
}

func (s *simulation) takeover() {
	s.holder = NewHolder()
	s.holder.Open(s.now, modelShare, s.limits)
}

func (s *simulation) changeLimits() {
	limits := s.limits
	if rapid.Bool().Draw(s.t, "less") {
		limits.Burst /= 2
		limits.Rate /= 2
	}
	s.holder.SetLimits(s.now, modelShare, limits)
}

// actions returns the possible actions, each repeated by its weight. Some simulations
// exclude some of them, so that the others occur more often.
func (s *simulation) actions() []func() {
	all := []func(){s.requestLoan, s.deliver, s.spend, s.settle, s.closeLoan, s.wait, s.takeover, s.changeLimits, s.handOver}
	usual := []int{6, 12, 6, 3, 3, 5, 1, 1, 1}
	var list []func()
	for i, action := range all {
		n := usual[i]
		if i == 1 && s.instantDelivery || i >= 3 && rapid.Bool().Draw(s.t, "without") {
			n = 0
		}
		for range n {
			list = append(list, action)
		}
	}
	return list
}

func (s *simulation) wait() {
	s.now = s.now.Add(rapid.SampledFrom(steps).Draw(s.t, "time"))
}

// steps are durations within a loan's lifetime, at its end, and until a bucket is full.
var steps = []time.Duration{
	time.Millisecond, 10 * time.Millisecond, 500 * time.Millisecond, time.Second, LoanTTL, 5 * time.Second,
}

// An organisation must not get more tokens than its contract allows when entries lose
// responses, repeat requests, keep loans across a takeover or settle charges a minute
// late: none of these may cause the same tokens to be spent twice.
//
// The test detects each of these faults: a loan does not occupy the holder's capacity
// (Lend without lent); LoanTTL counts from the response instead of the request;
// holderLoanTTL equals LoanTTL; Open refills at once; a refund is limited by the
// current headroom only (no minSince, no record in CloseLoan); a repeated report
// refunds again; a closed or expired loan is spent from; a bucket fills beyond its
// headroom; a handover omits the lent tokens; a share that was handed over before its
// refill starts refills at once.
func TestShareIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range simulationsPerCheck {
			s := newSimulation(t)
			actions := s.actions()
			for range rapid.IntRange(50, 250).Draw(t, "steps") {
				rapid.SampledFrom(actions).Draw(t, "action")()
			}
			if err := CheckHistory(s.history(), Contract{Rate: galenastair.TokensPerSecond(s.limits.Rate) / Holders, Burst: s.limits.Burst}); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func (s *simulation) history() []Grant {
	var history []Grant
	for _, c := range s.charges {
		history = append(history, c.grant)
	}
	return history
}
