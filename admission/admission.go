package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"galenastair"
)

const (
	// MaxWaiting bounds the waiting requests of an instance. Each holds a goroutine and its body,
	// about 20 KB together.
	MaxWaiting = 256
	// urgentFraction is the fraction of UrgentTarget from which a queue makes urgent requests late.
	// The rest is the time that such a request takes itself.
	urgentFraction = 0.8
	// minRecheck and maxRecheck bound the time between two evaluations of a waiting request.
	// Loads of other instances change every 300 ms, and each wake-up takes processor time.
	minRecheck = 25 * time.Millisecond
	maxRecheck = 250 * time.Millisecond
	// recheckFraction is the part of a request's slack that one interval takes.
	recheckFraction = 0.1
	// sendMargin is how long before its last moment a request is sent, for the time that a timer
	// and the transfer to the backend server take.
	sendMargin = 30 * time.Millisecond
	// latencyMargin is the multiple of the predicted latency that a waiting request has as slack in its
	// last moment. Loads of other instances are known late, and without a margin waiting makes one in ten
	// requests late at a load of 0.6.
	latencyMargin = 0.75
	// A share of minLastMoments of the requests that wait to their last moment is a fluctuation; with
	// maxLastMoments the servers are asked for more than they can do, and none of them is sent.
	minLastMoments = 0.2
	maxLastMoments = 0.5
	// staleSendProbability is the fraction of the late requests that are sent and not refused without
	// current loads of the other instances, unless there was a shortage when they were last known.
	staleSendProbability = 0.5
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 100 * time.Millisecond
)

// Controller decides on the requests of one instance.
type Controller struct {
	mu       sync.Mutex
	rng      *rand.Rand
	shed     bool
	lines    map[key]*line
	trends   map[key]*trend
	rates    map[galenastair.BackendServerID]*sendRate
	refusals refusals
	waiting  int
}

// Option configures a Controller.
type Option func(*Controller)

// WithRand replaces the random source.
func WithRand(rng *rand.Rand) Option { return func(c *Controller) { c.rng = rng } }

// WithoutShedding has the controller refuse no request for being late. Such requests are sent.
func WithoutShedding() Option { return func(c *Controller) { c.shed = false } }

// New returns a controller without waiting requests.
func New(opts ...Option) *Controller {
	c := &Controller{shed: true, lines: map[key]*line{}, trends: map[key]*trend{}, rates: map[galenastair.BackendServerID]*sendRate{}}
	for _, o := range opts {
		o(c)
	}
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}

// Ticket is one request under the control of a Controller.
type Ticket struct {
	c   *Controller
	req Request
	// returning is set for a retry after a refusal.
	returning bool
	waiting   bool
	// granted is set if the request may be sent, evicted if it has to make room for another one.
	granted bool
	evicted bool
	// lastMoment is set once the request has waited to its last moment, or was released. draw is a
	// random number in [0, 1) that is drawn then.
	lastMoment bool
	draw       float64
	wake       chan struct{}
}

// Arrive registers a request. Leave must be called once it has been sent or has ended.
func (c *Controller) Arrive(now time.Time, r Request) *Ticket {
	t := &Ticket{c: c, req: r}
	if r.UrgentTarget > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		t.returning = c.refusals.has(now, r.Digest)
	}
	return t
}

// Returning reports whether the request repeats one that was refused.
func (t *Ticket) Returning() bool { return t.returning }

// Wake returns a channel that receives when the request should be evaluated before its Recheck time.
func (t *Ticket) Wake() <-chan struct{} { return t.wake }

// Leave ends the wait of a request.
func (t *Ticket) Leave() {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.c.remove(t)
}

// Spread reports whether the request should be evaluated for any of its backend servers, as the best
// one is the same for all instances.
func (t *Ticket) Spread(now time.Time) bool {
	if t.req.UrgentTarget == 0 {
		return false
	}
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	return t.c.isShort(now, t.req.key())
}

// Ended wakes the first request that waits for the servers of a model, as a request that this
// instance has sent there has ended.
func (c *Controller) Ended(s galenastair.ServiceName, m galenastair.ModelName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.lines[keyOf(s, m)]; l != nil {
		l.first().notify()
	}
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// Decide evaluates a request for a candidate, which is any of its backend servers if Spread is true,
// and for the best one. After Send or Refuse the request no longer waits.
func (t *Ticket) Decide(now time.Time, candidate, best Forecast) Decision {
	if t.req.UrgentTarget == 0 {
		return Decision{Action: Send, Reason: ReasonMostUrgent, Best: true}
	}
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.c.observe(now, t, candidate, best)
	d := t.c.decide(now, t, candidate, best)
	switch d.Action {
	case Wait:
		t.c.add(t)
	case Refuse:
		t.c.remove(t)
		t.c.refusals.add(now, t.req.Digest, t.req.Deadline)
	case Send:
		t.c.remove(t)
	}
	return d
}

func (c *Controller) decide(now time.Time, t *Ticket, candidate, best Forecast) Decision {
	slack := t.slack(now, best)
	tr := c.trends[t.req.key()]
	switch {
	case t.granted:
		t.countLastMoment(tr, false)
		return Decision{Action: Send, Reason: ReasonReleased, Best: candidate.QueueTime >= t.req.limit()}
	case t.evicted:
		return c.refuse(now, t, best, ReasonOverShare)
	case c.release(now, t, candidate) && c.grantFirst(t):
		t.countLastMoment(tr, false)
		return Decision{Action: Send, Reason: sendReason(t)}
	case slack <= best.margin() && c.isDenied(tr, t):
		return c.refuse(now, t, best, ReasonLate)
	case slack <= best.margin() && best.QueueTime <= t.req.urgentLimit():
		return Decision{Action: Send, Reason: ReasonNoSlack, Best: true}
	case slack > sendMargin && (t.waiting || c.makeRoom(t)):
		return Decision{Action: Wait, Reason: ReasonYields, Recheck: c.recheck(slack)}
	case slack > sendMargin:
		return c.refuse(now, t, best, ReasonFull)
	case !c.shed:
		return Decision{Action: Send, Reason: ReasonNoSlack, Best: true}
	case best.Stale && !c.isShort(now, t.req.key()) && c.rng.Float64() < staleSendProbability:
		return Decision{Action: Send, Reason: ReasonNoSlack, Best: true}
	}
	return c.refuse(now, t, best, ReasonLate)
}

func sendReason(t *Ticket) Reason {
	if t.waiting {
		return ReasonReleased
	}
	return ReasonShortQueue
}

// grantFirst gives the permission to send to the request that goes first, and reports whether it is t.
func (c *Controller) grantFirst(t *Ticket) bool {
	first := c.firstOf(t)
	if first != t {
		first.granted = true
		first.notify()
	}
	return first == t
}

// isDenied reports whether a request that has waited to its last moment is refused. That is the more
// likely, the more requests come to this: with more work than the servers can do, those that are sent
// then would keep the queue long.
func (c *Controller) isDenied(tr *trend, t *Ticket) bool {
	if !c.shed {
		return false
	}
	if !t.lastMoment {
		t.countLastMoment(tr, true)
		t.draw = c.rng.Float64()
	}
	return t.draw < (tr.lastMomentsUpTo(t.req.Priority)-minLastMoments)/(maxLastMoments-minLastMoments)
}

// countLastMoment counts once whether the request was released before its last moment.
func (t *Ticket) countLastMoment(tr *trend, reached bool) {
	if !t.lastMoment {
		t.lastMoment = true
		tr.countLastMoment(t.req.Priority, reached)
	}
}

// slack is how much longer the request can wait. A retry after a refusal waits to its deadline, with
// precedence over new requests. If all of them were sent then, the urgent requests on time would fall from
// 0.8 to 0.2 at twice the load that the servers can do.
func (t *Ticket) slack(now time.Time, f Forecast) time.Duration {
	end := t.req.lastMoment()
	if t.returning || end.After(t.req.Deadline) {
		end = t.req.Deadline
	}
	return end.Sub(now) - f.PredictedLatency
}

// recheck returns the time to the next evaluation, with jitter.
func (c *Controller) recheck(slack time.Duration) time.Duration {
	d := min(maxRecheck, max(minRecheck, time.Duration(recheckFraction*float64(slack))))
	d = time.Duration(float64(d) * (0.75 + 0.5*c.rng.Float64()))
	return max(time.Millisecond, min(d, slack-sendMargin))
}

// refuse returns a refusal with the time by which the queue is expected to be short enough. The
// jitter spreads the retries of several callers.
func (c *Controller) refuse(now time.Time, t *Ticket, f Forecast, reason Reason) Decision {
	left := t.req.Deadline.Sub(now)
	d := Decision{Action: Refuse, Reason: reason}
	wait := c.trends[t.req.key()].timeTo(f.QueueTime - t.req.limit())
	if t.returning || wait+f.ownTime() > left {
		return d
	}
	d.RetryAfter = time.Duration(float64(max(wait, minRetryAfter)) * (0.75 + 0.75*c.rng.Float64()))
	if d.RetryAfter > left/3 {
		// callers respect no more than a third; the upper half of it is left to spread them
		d.RetryAfter = time.Duration(float64(left) / 3 * (0.5 + 0.5*c.rng.Float64()))
	}
	return d
}
