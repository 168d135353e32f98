package admission

import (
	"math"
	"time"

	"galenastair"
)

const (
	// yieldFraction is the fraction of UrgentTarget up to which a queue is left to the requests of
	// the next less urgent priority. Each further priority gets the same fraction of that. The rest
	// is for the urgent request itself, and for what other instances have sent since their last report.
	yieldFraction = 0.5
	// shortageWindow is how long a shortage lasts after the best queue was last long. It is several
	// times as long as such a queue takes to clear, so that instances do not all send when it has.
	// maxStaleWindow applies without current loads.
	shortageWindow = 6 * time.Second
	maxStaleWindow = 30 * time.Second
	// maxDrawInterval bounds the time whose share of a server may be used at once. Other instances
	// see a request 300 to 900 ms later.
	maxDrawInterval = 500 * time.Millisecond
	// initialGain is the fraction of its share of a server that an instance first sends. The rest is
	// for urgent requests, of which nothing is known here.
	initialGain = 0.7
	minGain     = 0.05
	maxGain     = 4
	// loadDelaySeconds is the mean age of the loads of other instances. proportionalGain and integralGain
	// are low enough for the control of a queue that is known only after this time to be stable.
	loadDelaySeconds = 0.8
	proportionalGain = 0.4
	integralGain     = 0.2
	// queueTarget is the queue to which the gain is controlled, as a fraction of the limit.
	queueTarget = 0.4
	// minStaleRoom and maxStaleRoom bound the room in a queue that is assumed without current loads of
	// the other instances: too little is known to stop sending, or to send all.
	minStaleRoom = 0.25
	maxStaleRoom = 0.5
	// maxRates bounds the servers whose rate is kept. Their states take about 200 bytes each.
	maxRates = 2048
)

// sendRate is the rate at which this instance sends less urgent requests to a server in a shortage, as
// a multiple of its share of what the server can do.
//
// All instances see the same queue, too late: if each sent whenever it looks short, they would fill
// it together, and none would send when it looks long. With a rate they use a server evenly.
type sendRate struct {
	gain       float64
	queue      time.Duration
	observedAt time.Time
	drawnAt    time.Time
}

// observe adapts the gain to a queue.
func (s *sendRate) observe(now time.Time, queue, limit time.Duration) {
	elapsed := now.Sub(s.observedAt)
	if elapsed < trendInterval {
		return
	}
	change := (queue - s.queue).Seconds()
	excess := queue.Seconds() - queueTarget*limit.Seconds()
	s.gain *= math.Exp(-proportionalGain/loadDelaySeconds*change - integralGain/loadDelaySeconds/loadDelaySeconds*excess*min(2, elapsed.Seconds()))
	s.gain = min(maxGain, max(minGain, s.gain))
	s.queue, s.observedAt = queue, now
}

// limit is the queue time up to which the request may be sent.
func (r *Request) limit() time.Duration {
	return time.Duration(math.Pow(yieldFraction, float64(max(1, r.UrgentLevels))) * float64(r.UrgentTarget))
}

// urgentLimit is the queue time from which more urgent requests would be late.
func (r *Request) urgentLimit() time.Duration {
	return time.Duration(urgentFraction * float64(r.UrgentTarget))
}

// observe records what is known of the servers before a decision.
func (c *Controller) observe(now time.Time, t *Ticket, candidate, best Forecast) {
	tr := c.trend(now, t.req.key())
	tr.observe(now, best.QueueTime)
	if !best.Stale && best.QueueTime >= time.Duration(yieldFraction*float64(t.req.UrgentTarget)) {
		tr.shortAt = now
	}
	tr.stale = best.Stale
	if !candidate.Stale {
		c.rate(now, candidate).observe(now, candidate.QueueTime, t.req.limit())
	}
}

// isShort reports whether the servers of a model had queues above the limit within the last seconds.
func (c *Controller) isShort(now time.Time, k key) bool {
	tr := c.trends[k]
	if tr == nil || tr.shortAt.IsZero() {
		return false
	}
	window := shortageWindow
	if tr.stale {
		window = maxStaleWindow
	}
	return now.Sub(tr.shortAt) < window
}

// release draws whether the request may be sent with the present queue. Without a shortage, a queue of
// less than half of the limit takes every new request; from there to the limit their share decreases.
func (c *Controller) release(now time.Time, t *Ticket, f Forecast) bool {
	s := c.rate(now, f)
	room := 1 - float64(f.QueueTime)/float64(t.req.limit())
	if f.Stale {
		room = min(maxStaleRoom, max(minStaleRoom, room))
	}
	if room <= 0 {
		return false
	}
	if !c.isShort(now, t.req.key()) {
		return c.rng.Float64() < 2*room
	}
	elapsed := min(now.Sub(s.drawnAt), maxDrawInterval).Seconds()
	s.drawnAt = now
	return c.rng.Float64() < 1-math.Exp(-s.gain*room*f.share()*elapsed)
}

func (c *Controller) rate(now time.Time, f Forecast) *sendRate {
	s := c.rates[f.Server]
	if s == nil {
		if len(c.rates) >= maxRates {
			dropBefore(c.rates, func(s *sendRate) bool { return now.Sub(s.observedAt) > maxStaleWindow })
		}
		s = &sendRate{gain: initialGain, queue: f.QueueTime, observedAt: now, drawnAt: now}
		c.rates[f.Server] = s
	}
	return s
}

func (c *Controller) trend(now time.Time, k key) *trend {
	if c.trends[k] == nil {
		if len(c.trends) >= maxTrends {
			dropBefore(c.trends, func(t *trend) bool { return now.Sub(t.at) > trendWindow })
		}
		c.trends[k] = &trend{}
	}
	return c.trends[k]
}

// dropBefore removes the outdated entries of a full table, or all if none are outdated.
func dropBefore[K key | galenastair.BackendServerID, V any](table map[K]V, outdated func(V) bool) {
	size := len(table)
	for k, v := range table {
		if outdated(v) {
			delete(table, k)
		}
	}
	if len(table) == size {
		clear(table)
	}
}
