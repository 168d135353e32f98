package admission

import "time"

const (
	// trendInterval is the time between two observations of a queue. Loads of other instances are
	// renewed about as often.
	trendInterval = 300 * time.Millisecond
	// trendWindow is how long an observation of a queue counts.
	trendWindow = 3 * time.Second
	// trendWeight is the weight of a new observation in the rate of decrease.
	trendWeight = 0.3
	// maxTrends bounds the queues whose trend is kept.
	maxTrends = 512
)

// trend is the observed rate at which a queue gets shorter, in seconds of queue per second.
type trend struct {
	queue time.Duration
	at    time.Time
	rate  float64
	// shortAt is when the best queue last exceeded the limit of a request.
	shortAt time.Time
	// lastMoments is the share of the requests of each priority that waited until their last moment.
	lastMoments [priorityLevels]float64
	// stale is set while the loads of the other instances are out of date.
	stale bool
}

func (t *trend) observe(now time.Time, queue time.Duration) {
	elapsed := now.Sub(t.at)
	switch {
	case t.at.IsZero() || elapsed > trendWindow:
		t.queue, t.at, t.rate, t.lastMoments = queue, now, 0, [priorityLevels]float64{}
	case elapsed >= trendInterval:
		rate := (t.queue - queue).Seconds() / elapsed.Seconds()
		t.rate += trendWeight * (rate - t.rate)
		t.queue, t.at = queue, now
	}
}

// minClearRate bounds the estimate where a queue does not get shorter.
const minClearRate = 0.1

// timeTo returns the time until the queue has decreased by d.
func (t *trend) timeTo(d time.Duration) time.Duration {
	rate := 1.0
	if t != nil && t.rate != 0 {
		rate = min(1, max(minClearRate, t.rate))
	}
	return time.Duration(float64(max(0, d)) / rate)
}

// lastMomentWeight is the weight of a new request in the share of those that wait until their last
// moment. An instance has few requests of a model.
const lastMomentWeight = 0.1

// priorityLevels is the number of priorities that are told apart; greater ones count as the last.
const priorityLevels = 10

func levelOf(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// countLastMoment counts a request that was released, or has waited until its last moment.
func (t *trend) countLastMoment(priority int, reached bool) {
	l := levelOf(priority)
	t.lastMoments[l] -= lastMomentWeight * t.lastMoments[l]
	if reached {
		t.lastMoments[l] += lastMomentWeight
	}
}

// lastMomentsUpTo returns the greatest share of the priorities that are at least as urgent.
func (t *trend) lastMomentsUpTo(priority int) float64 {
	share := 0.0
	for _, s := range t.lastMoments[:levelOf(priority)+1] {
		share = max(share, s)
	}
	return share
}
