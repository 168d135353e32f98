package admission

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"galenastair"
)

const (
	// MaxWaiting bounds the waiting requests of an instance. Each holds a goroutine and its body,
	// about 20 KB together.
	MaxWaiting = 256
	// yieldFraction is the fraction of UrgentTarget up to which a queue is left to the requests of
	// the next less urgent priority. Each further priority gets the same fraction of that. The rest
	// is for the time that the urgent request itself takes, and for what other instances have sent
	// since their last report.
	yieldFraction = 0.5
	// urgentFraction is the fraction of UrgentTarget from which a queue makes urgent requests late.
	urgentFraction = 0.8
	// releaseRate is the rate per second at which a waiting request is released when the queue is
	// short. Instances see each other's load up to 900 ms late, so a higher rate would fill the
	// queue again before any of them sees it.
	releaseRate = 4.0
	// minRecheck and maxRecheck bound the time between two evaluations of a waiting request.
	// Loads of other instances change every 300 ms, and each wake-up takes processor time.
	minRecheck = 25 * time.Millisecond
	maxRecheck = 250 * time.Millisecond
	// recheckFraction is the part of a request's slack that one interval takes.
	recheckFraction = 0.1
	// sendMargin is how long before its last moment a request is sent, for the time that a timer
	// and the transfer to the backend server take.
	sendMargin = 30 * time.Millisecond
	// staleProbability bounds how often a decision to wait or to refuse is followed, and how often a
	// request is sent at once, without current loads of the other instances.
	staleProbability = 0.5
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
	shortAt  map[key]time.Time
	servers  map[galenastair.BackendServerID]*serverState
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
	c := &Controller{shed: true, lines: map[key]*line{}, trends: map[key]*trend{}, shortAt: map[key]time.Time{}, servers: map[galenastair.BackendServerID]*serverState{}}
	for _, o := range opts {
		o(c)
	}
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // spreads load
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
	granted   bool
	// checkedAt is the time of the last evaluation.
	checkedAt time.Time
	forecast  Forecast
	wake      chan struct{}
}

// Arrive registers a request. Leave must be called once it has been sent or has ended.
func (c *Controller) Arrive(now time.Time, r Request) *Ticket {
	t := &Ticket{c: c, req: r, checkedAt: now}
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

// Ended wakes the first request that waits for the servers of a model, as a request that this
// instance has sent there has ended.
func (c *Controller) Ended(s galenastair.ServiceName, m galenastair.ModelName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.lines[key{s, m}]; l != nil {
		l.first().notify()
	}
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// Decide evaluates a request. After Send or Refuse the request no longer waits.
func (t *Ticket) Decide(now time.Time, f Forecast) Decision {
	if t.req.UrgentTarget == 0 {
		return Decision{Action: Send, Reason: ReasonMostUrgent}
	}
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.forecast = f
	t.c.observe(now, t.req.key(), f.QueueTime)
	d := t.c.decide(now, t, f)
	t.checkedAt = now
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

func (c *Controller) decide(now time.Time, t *Ticket, f Forecast) Decision {
	if t.granted {
		return Decision{Action: Send, Reason: ReasonReleased}
	}
	if c.release(now, t, f) {
		first := c.firstOf(t)
		if first == t {
			return Decision{Action: Send, Reason: sendReason(t)}
		}
		first.granted = true
		first.notify()
	}
	slack := t.slack(now, f)
	switch {
	case slack > sendMargin && (t.waiting || c.waiting < MaxWaiting):
		return Decision{Action: Wait, Reason: ReasonYields, Recheck: c.recheck(slack)}
	case slack > sendMargin:
		return c.refuse(now, t, f, ReasonFull)
	case f.QueueTime <= time.Duration(urgentFraction*float64(t.req.UrgentTarget)) && !goDraw, !c.shed:
		return Decision{Action: Send, Reason: ReasonNoSlack}
	case f.Stale && c.rng.Float64() < staleProbability:
		return Decision{Action: Send, Reason: ReasonNoSlack}
	}
	return c.refuse(now, t, f, ReasonLate)
}

func sendReason(t *Ticket) Reason {
	if t.waiting {
		return ReasonReleased
	}
	return ReasonShortQueue
}

// limit is the queue time up to which the request may be sent.
func (r *Request) limit() time.Duration {
	return time.Duration(math.Pow(yieldFraction, float64(max(1, r.UrgentLevels))) * float64(r.UrgentTarget))
}

// release draws whether the request may be sent with the present queue. Without a shortage, a queue of
// less than half of the limit takes every new request; from there to the limit their share decreases.
func (c *Controller) release(now time.Time, t *Ticket, f Forecast) bool {
	s := c.server(now, f)
	l := t.req.limit()
	if f.QueueTime >= l {
		s.shortAt = now
		c.shortAt[t.req.key()] = now
		return f.Stale && c.rng.Float64() < 0.1
	}
	if at, ok := c.shortAt[t.req.key()]; !ok || now.Sub(at) > shortageWindow {
		return c.rng.Float64() < 2*(1-float64(f.QueueTime)/float64(l))
	}
	elapsed := min(now.Sub(s.drawnAt), maxDraw).Seconds()
	s.drawnAt = now
	return c.rng.Float64() < 1-math.Exp(-s.gain*f.share()*elapsed)
}

type serverState struct {
	queue      time.Duration
	observedAt time.Time
	drawnAt    time.Time
	shortAt    time.Time
	gain       float64
}

var (
	shortageWindow = 3 * time.Second
	maxDraw        = 500 * time.Millisecond
	gain0          = 0.5
	gainA          = 0.4
	gainB          = 0.2
	gainD          = 0.8
	gainMax        = 4.0
	goDraw         = true
)

func (c *Controller) server(now time.Time, f Forecast) *serverState {
	s := c.servers[f.Server]
	if s == nil {
		s = &serverState{gain: gain0, observedAt: now, drawnAt: now, queue: f.QueueTime}
		c.servers[f.Server] = s
	}
	if elapsed := now.Sub(s.observedAt); elapsed >= trendInterval {
		q0 := 0.1
		e := min(2, elapsed.Seconds())
		s.gain *= math.Exp(-gainA/gainD*(f.QueueTime-s.queue).Seconds() - gainB/gainD/gainD*(f.QueueTime.Seconds()-q0)*e)
		s.gain = min(gainMax, max(0.05, s.gain))
		s.queue, s.observedAt = f.QueueTime, now
	}
	return s
}

// slack is how much longer the request can wait. A retry after a refusal is not refused again as
// long as it can be answered before its deadline.
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
	clear := c.trends[t.req.key()].timeTo(f.QueueTime - t.req.limit())
	if t.returning || clear+f.ownTime() > left {
		return d
	}
	after := time.Duration(float64(max(clear, minRetryAfter)) * (0.75 + 0.75*c.rng.Float64()))
	if after > left/3 {
		// spread over the upper half of what callers accept
		after = time.Duration(float64(left) / 3 * (0.5 + 0.5*c.rng.Float64()))
	}
	d.RetryAfter = after
	return d
}

func (c *Controller) observe(now time.Time, k key, queue time.Duration) {
	if c.trends[k] == nil {
		if len(c.trends) >= maxTrends {
			c.dropTrends(now)
		}
		c.trends[k] = &trend{}
	}
	c.trends[k].observe(now, queue)
}

// dropTrends removes the trends that no longer count, or all if none are outdated.
func (c *Controller) dropTrends(now time.Time) {
	for k, t := range c.trends {
		if now.Sub(t.at) > trendWindow {
			delete(c.trends, k)
		}
	}
	if len(c.trends) >= maxTrends {
		clear(c.trends)
	}
}
