package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/claim"
)

func newController(seed uint64) *Controller {
	return New(WithRand(rand.New(rand.NewPCG(seed, 7))))
}

// shortRequest is on time within 0.8 s; the more urgent ones of its service within 0.5 s.
func shortRequest(now time.Time) Request {
	return Request{Service: modelService, Model: modelName, Arrived: now, Deadline: now.Add(5 * time.Second), TargetLatency: 800 * time.Millisecond,
		Priority: 1, UrgentTarget: 500 * time.Millisecond, UrgentLevels: 1, Organisation: "org", Rate: 100, Digest: claim.DigestOf("org", "POST /a", nil)}
}

func patientRequest(now time.Time) Request {
	r := shortRequest(now)
	r.Deadline, r.TargetLatency, r.Priority, r.UrgentLevels = now.Add(15*time.Second), 10*time.Second, 2, 2
	return r
}

func queueOf(d time.Duration) Forecast {
	return Forecast{PredictedLatency: d + 130*time.Millisecond, QueueTime: d, Server: "s1", Slots: 1, Instances: modelInstances}
}

// decide evaluates a request for a server that is also the best one.
func decide(t *Ticket, now time.Time, f Forecast) Decision { return t.Decide(now, f, f) }

// Services without a more urgent route must be served as before. Fails if a request waits, is refused or
// leaves any state.
func TestMostUrgentRequestsAreSent(t *testing.T) {
	is := is.New(t)
	c := newController(1)
	r := shortRequest(modelStart)
	r.UrgentTarget, r.UrgentLevels = 0, 0
	ticket := c.Arrive(modelStart, r)
	is.Equal(decide(ticket, modelStart, queueOf(time.Hour)).Action, Send)
	is.True(!ticket.Spread(modelStart))
	ticket.Leave()
	is.Equal(len(c.trends)+len(c.rates)+len(c.lines)+c.refusals.len(), 0)
}

// A large prompt takes longer than an urgent request may wait, also at an idle server. Fails if it waits
// there for a queue that only it would be.
func TestLargePromptIsSentToAnIdleServer(t *testing.T) {
	is := is.New(t)
	ticket := newController(1).Arrive(modelStart, patientRequest(modelStart))
	is.Equal(decide(ticket, modelStart, Forecast{PredictedLatency: 3 * time.Second, Server: "s1", Slots: 1, Instances: 1}).Action, Send)
}

// Waiting must not make a request late where the engines can do the work. Fails if a request that yields
// to a queue of moderate length is refused, or sent so late that its answer is late.
func TestWaitingEndsInTime(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		c := newController(seed)
		ticket := c.Arrive(modelStart, shortRequest(modelStart))
		now := modelStart
		f := queueOf(300 * time.Millisecond)
		d := decide(ticket, now, f)
		for d.Action == Wait {
			is.True(d.Recheck > 0)
			is.True(d.Recheck <= 2*maxRecheck)
			now = now.Add(d.Recheck)
			d = decide(ticket, now, f)
		}
		is.Equal(d.Action, Send)
		is.True(now.Add(f.PredictedLatency).Sub(modelStart) <= 800*time.Millisecond)
	}
}

// A request that can only be late, while urgent ones are late as well, must not wait for its refusal.
// Fails if it waits, or if Retry-After is beyond what callers respect or the same for all.
func TestLateRequestsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	seen := map[time.Duration]bool{}
	for seed := range uint64(20) {
		d := decide(newController(seed).Arrive(modelStart, shortRequest(modelStart)), modelStart, queueOf(1500*time.Millisecond))
		is.Equal(d.Action, Refuse)
		is.True(d.RetryAfter >= minRetryAfter/2)
		is.True(d.RetryAfter <= 5*time.Second/3)
		seen[d.RetryAfter] = true
	}
	is.Equal(len(seen), 20)
	d := decide(newController(1).Arrive(modelStart, shortRequest(modelStart)), modelStart, queueOf(20*time.Second))
	is.Equal(d.Action, Refuse)
	is.Equal(d.RetryAfter, time.Duration(0))
}

// Some callers repeat a refused request at once. Fails if it is refused again although it can be
// answered before its deadline, if new requests go before it, or if a request of another caller counts
// as its repetition.
func TestRepeatedRequestIsNotRefusedAgain(t *testing.T) {
	is := is.New(t)
	c := newController(1)
	first := c.Arrive(modelStart, shortRequest(modelStart))
	is.Equal(decide(first, modelStart, queueOf(time.Second)).Action, Refuse)

	now := modelStart.Add(5 * time.Millisecond)
	other := shortRequest(now)
	other.Digest = "other"
	is.True(!c.Arrive(now, other).Returning())
	again := shortRequest(now)
	again.Deadline = modelStart.Add(5 * time.Second)
	repeated := c.Arrive(now, again)
	is.True(repeated.Returning())
	d := decide(repeated, now, queueOf(time.Second))
	is.Equal(d.Action, Wait)

	// a new request whose release is drawn passes the permission on
	now = now.Add(d.Recheck)
	for range 1000 {
		other.Arrived, other.Deadline = now, now.Add(5*time.Second)
		newer := c.Arrive(now, other)
		if decide(newer, now, queueOf(0)).Action == Send {
			t.Fatal("a new request went before a repeated one")
		}
		newer.Leave()
		if repeated.granted {
			break
		}
		now = now.Add(10 * time.Millisecond)
	}
	select {
	case <-repeated.Wake():
	default:
		t.Fatal("the repeated request was not woken")
	}
	is.Equal(decide(repeated, now, queueOf(time.Second)).Action, Send)
	is.Equal(c.Waiting(), 0)
}

// A repeated request must be served while that makes no more urgent ones late. Fails if it is refused
// again although the queue stays moderate, or sent too late for its deadline.
func TestRepeatedRequestIsSentBeforeItsDeadline(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		c := newController(seed)
		is.Equal(decide(c.Arrive(modelStart, shortRequest(modelStart)), modelStart, queueOf(time.Second)).Action, Refuse)
		ticket := c.Arrive(modelStart, shortRequest(modelStart))
		now, f := modelStart, queueOf(390*time.Millisecond)
		d := decide(ticket, now, f)
		for d.Action == Wait {
			now = now.Add(d.Recheck)
			d = decide(ticket, now, f)
		}
		is.Equal(d.Action, Send)
		is.True(now.Add(f.PredictedLatency).Before(modelStart.Add(5 * time.Second)))
	}
}

// A request that was refused once and can't be served before its deadline must be refused at once and
// without Retry-After, as a third attempt would be too late.
func TestUnservableRepetitionIsRefused(t *testing.T) {
	is := is.New(t)
	c := newController(1)
	is.Equal(decide(c.Arrive(modelStart, shortRequest(modelStart)), modelStart, queueOf(time.Second)).Action, Refuse)
	d := decide(c.Arrive(modelStart, shortRequest(modelStart)), modelStart, queueOf(6*time.Second))
	is.Equal(d.Action, Refuse)
	is.Equal(d.RetryAfter, time.Duration(0))
}

// Callers that repeat many requests must not fill the memory. Fails if the table of refusals grows
// without bound, or keeps requests whose deadlines have passed.
func TestRefusalsAreBounded(t *testing.T) {
	is := is.New(t)
	var r refusals
	for i := range 3 * maxRefusals {
		r.add(modelStart, claim.Digest(fmt.Sprint(i)), modelStart.Add(time.Second))
	}
	is.Equal(r.len(), maxRefusals)
	is.True(len(r.order) <= maxRefusals)
	r.add(modelStart.Add(2*time.Second), "last", modelStart.Add(3*time.Second))
	is.Equal(r.len(), 1)
}

// Models and servers come and go. Fails if the state that is kept of them grows without bound.
func TestStateOfModelsIsBounded(t *testing.T) {
	is := is.New(t)
	c := newController(1)
	for i := range 2 * maxRates {
		r := patientRequest(modelStart)
		r.Model = galenastair.ModelName(fmt.Sprint(i))
		f := queueOf(0)
		f.Server = galenastair.BackendServerID(fmt.Sprint(i))
		ticket := c.Arrive(modelStart, r)
		decide(ticket, modelStart, f)
		ticket.Leave()
	}
	is.True(len(c.trends) <= maxTrends)
	is.True(len(c.rates) <= maxRates)
}

// A caller that leaves must free its place at once, also if it had been given the permission to send.
func TestLeavingFreesThePlace(t *testing.T) {
	is := is.New(t)
	c := newController(1)
	ticket := c.Arrive(modelStart, patientRequest(modelStart))
	is.Equal(decide(ticket, modelStart, queueOf(time.Second)).Action, Wait)
	is.Equal(c.Waiting(), 1)
	ticket.Leave()
	ticket.Leave()
	is.Equal(c.Waiting(), 0)
	is.Equal(len(c.lines), 0)
}

// One organisation may send many times its share. Fails if its requests keep those of others from
// waiting, or if more wait than the bound.
func TestFloodOfOneOrganisation(t *testing.T) {
	is := is.New(t)
	c := newController(1)
	arrive := func(o galenastair.Organisation, i int) (*Ticket, Decision) {
		r := patientRequest(modelStart)
		r.Organisation, r.Digest = o, claim.Digest(fmt.Sprint(o, i))
		ticket := c.Arrive(modelStart, r)
		return ticket, decide(ticket, modelStart, queueOf(time.Second))
	}
	var flood []*Ticket
	for i := range 2 * MaxWaiting {
		ticket, d := arrive("flood", i)
		if d.Action == Wait {
			flood = append(flood, ticket)
		}
	}
	is.Equal(len(flood), MaxWaiting)
	is.Equal(c.Waiting(), MaxWaiting)
	for i := range 10 {
		_, d := arrive("other", i)
		is.Equal(d.Action, Wait)
	}
	is.Equal(c.Waiting(), MaxWaiting)
	evicted := 0
	for _, ticket := range flood {
		if ticket.evicted {
			evicted++
			select {
			case <-ticket.Wake():
			default:
				t.Fatal("an evicted request was not woken")
			}
			d := decide(ticket, modelStart, queueOf(time.Second))
			is.Equal(d.Action, Refuse)
			is.Equal(d.Reason, ReasonOverShare)
		}
	}
	is.Equal(evicted, 10)

	// what is released goes to the organisation within its share
	l := c.lines[key{modelService, modelName}]
	is.Equal(l.first().req.Organisation, galenastair.Organisation("other"))
}

// All instances see the same short queue at the same time. Fails if most of those with waiting requests
// send within one interval.
func TestReleasesAreSpread(t *testing.T) {
	is := is.New(t)
	released := 0
	for seed := range uint64(modelInstances) {
		c := newController(seed)
		ticket := c.Arrive(modelStart, patientRequest(modelStart))
		is.Equal(decide(ticket, modelStart, queueOf(time.Second)).Action, Wait)
		if decide(ticket, modelStart.Add(300*time.Millisecond), queueOf(0)).Action == Send {
			released++
		}
	}
	is.True(released > 0)
	is.True(released < 10)
}

// Without current loads, an instance must neither refuse nor admit all. Fails if late requests are all
// refused or all sent.
func TestWithoutCurrentLoads(t *testing.T) {
	is := is.New(t)
	count := map[Action]int{}
	for seed := range uint64(200) {
		f := queueOf(900 * time.Millisecond)
		f.Stale = true
		c := newController(seed)
		r := shortRequest(modelStart)
		ticket := c.Arrive(modelStart, r)
		count[decide(ticket, modelStart, f).Action]++
	}
	is.True(count[Send] > 20)
	is.True(count[Refuse] > 20)
}
