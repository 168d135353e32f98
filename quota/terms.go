package quota

import (
	"time"

	"galenastair/catalog"
)

// Tolerance is how much an organisation may get over its quota, in any time span of length Window:
// Ratio times what the quota allows in that span, plus Slack.
type Tolerance struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// burstFraction is the fraction of the tolerance that is added to the burst. Contract rates are
// meant for windows of seconds, but requests of thousands of tokens arrive in clusters, which a
// bucket of the plain burst refuses although the window has room. The rest of the tolerance covers
// what a change of lender or a partition can add.
const burstFraction = 0.38

// allowance returns what an organisation may get beyond its quota in a window.
func (t Tolerance) allowance(o *catalog.Organisation) float64 {
	return t.Ratio*(t.Window.Seconds()*o.Rate+o.Burst) + t.Slack
}

// burstAllowance returns the part of the allowance that is added to the burst.
func (t Tolerance) burstAllowance(o *catalog.Organisation) float64 {
	return burstFraction * t.allowance(o)
}

// MaxBurst returns the most that an organisation may take at one moment.
func (t Tolerance) MaxBurst(o *catalog.Organisation) float64 { return o.Burst + t.burstAllowance(o) }

// LendingBucket returns the rate and size of the bucket that an organisation borrows from.
//
// Failure guarded against: an organisation constantly asks for somewhat more than its rate, for
// example after an operator has lowered it. The quota allows a burst in every window, but a bucket
// of rate and burst grants the burst once and then the rate alone, so requests within the quota
// are refused, the large ones first. Therefore the burst accrues over the window together with the
// rate, as far as this leaves a bucket that is large enough for clusters of requests. The most
// that a window can grant, size + rate x window, stays the same.
func (t Tolerance) LendingBucket(o *catalog.Organisation) (rate, size float64) {
	if t.Window <= 0 {
		// without a window there is no time over which to spread the burst
		return o.Rate, t.MaxBurst(o)
	}
	size = max(t.burstAllowance(o), o.Burst-t.burstAllowance(o))
	return o.Rate + (t.MaxBurst(o)-size)/t.Window.Seconds(), size
}

// reserveFraction is the fraction of the allowance that instances start with when the lender stops
// answering. Their own fractions fill so slowly that a quiet organisation would otherwise wait
// seconds for its first request.
const reserveFraction = 0.15

// reserve returns what all instances together may start a fallback with.
func (t Tolerance) reserve(o *catalog.Organisation) float64 {
	return reserveFraction * t.allowance(o)
}

const (
	// lenderTimeout is how long an instance goes without an exchange, even if none failed, before
	// it falls back. Idle instances exchange every 0.6 s.
	lenderTimeout = 1200 * time.Millisecond
	// countPeriod is how long a lender listens before it counts the instances. All instances that
	// can reach it exchange within that time.
	countPeriod = 700 * time.Millisecond
	// initialCountPeriod applies instead if the previous number of instances is unknown: the
	// system starts for the first time, and some instances may be late.
	initialCountPeriod = 3 * time.Second
	// In fallback an instance spends its whole fraction for fallbackFullPeriod, and then only
	// fallbackReducedRate of it. After instanceTimeout the lender allocates that fraction to
	// others. The instance counts from its last exchange, as the lender does, so it has reduced
	// its rate by then.
	fallbackFullPeriod  = 5 * time.Second
	instanceTimeout     = 7 * time.Second
	fallbackReducedRate = 0.1
	// startupFullPeriod is how long a process without any answer from a lender spends its whole
	// fraction; the next lender has started by then. Its predecessor may have been unreachable
	// before the restart: a checkpoint drops an instance after fallbackFullPeriod, and the sum of
	// both must be no more than instanceTimeout.
	startupFullPeriod = 2 * time.Second
)
