package route

import (
	"time"

	"galenastair"
)

const (
	// minSamples is the number of responses that a comparison needs, as single ones may be
	// slow by chance.
	minSamples = 5
	// slowFirstTokenFactor is the factor to the median of the peers above which the first
	// tokens of a backend server count as slow. Prompts and batches vary by a factor of two.
	slowFirstTokenFactor = 3
	// minSlowFirstToken is the shortest mean time to the first token that counts as slow, the
	// 1.8 s that callers are promised. A busy backend server is many times slower than idle
	// peers and still healthy: at half of this value, one that processed long prompts was
	// ejected repeatedly and its load moved to others.
	minSlowFirstToken = 1800 * time.Millisecond
	// slowInterTokenFactor and minSlowInterTokenLatency are the same for the time between
	// tokens, promised at 64 ms. It separates a slow accelerator from a busy one, whose window
	// is reduced before it becomes that slow.
	slowInterTokenFactor     = 2
	minSlowInterTokenLatency = 64 * time.Millisecond
	// maxConsecutiveFailures is the number of consecutive failures after which a backend server
	// is ejected. One request that crashes its server and its single retry cause two.
	maxConsecutiveFailures = 3
	// maxEjectedShare is the share of the backend servers that may be ejected at a time. If more
	// seem slow, the cause is load or the network, and ejecting them would increase
	// the load on the others.
	maxEjectedShare = 0.34
	// baseEjectionTime is the duration of the first ejection. It is longer than a long garbage
	// collection or a weight load on the backend server's network link.
	baseEjectionTime = 5 * time.Second
	// maxEjectionTime bounds the doubling, so that a backend server that has recovered is
	// probed within a minute.
	maxEjectionTime = 60 * time.Second
	// smoothing is the weight of a new sample in the moving averages.
	smoothing = 0.2
	// minSilenceStale is the shortest time without a first token after which an engine counts
	// as silent if its last report is older than staleReportAge.
	minSilenceStale = 2 * time.Second
	staleReportAge  = 3 * time.Second
	// minSilence is the same for an engine that still reports. A prompt of ten thousand tokens
	// takes seconds to process.
	minSilence = 6 * time.Second
	// silentFactor is the multiple of the median time to the first token after which an engine
	// counts as silent.
	silentFactor = 6
	// maxReportAge is the report age above which an engine counts as silent, if the report is
	// also more than twice as old as the median of all reports.
	maxReportAge = 6 * time.Second
)

// Nominal times to the first token make long and short prompts comparable. Only their ratio
// matters, as all peers are compared by the same measure.
const (
	nominalBase     = 60 * time.Millisecond
	nominalPerToken = 150 * time.Microsecond
)

// health holds the measurements by which a backend server is compared with its peers.
type health struct {
	// slowness and firstToken are moving averages over the last first tokens, relative to the
	// nominal time and absolute. interTokenLatency is one over the last responses.
	slowness          float64
	firstToken        time.Duration
	samples           int
	interTokenLatency time.Duration
	interTokenSamples int
	failures          int
	// unanswered counts requests without a first token. lastProgress is when one of them last
	// got its first token or ended, or when the first of them was sent.
	unanswered   int
	lastProgress time.Time
	ejected      bool
	ejectedUntil time.Time
	ejectionTime time.Duration
	probing      bool
}

func (h *health) sent(now time.Time) {
	if h.unanswered == 0 {
		h.lastProgress = now
	}
	h.unanswered++
}

func (h *health) addFirstToken(now time.Time, took time.Duration, promptTokens int64) {
	h.progress(now)
	h.samples++
	h.slowness = smooth(h.slowness, float64(took)/float64(nominal(galenastair.Tokens(promptTokens))), h.samples)
	h.firstToken = smooth(h.firstToken, took, h.samples)
	h.failures = 0
}

func (h *health) addInterTokenLatency(latency time.Duration) {
	if latency > 0 {
		h.interTokenSamples++
		h.interTokenLatency = smooth(h.interTokenLatency, latency, h.interTokenSamples)
	}
}

// nominal returns the time that an idle backend server takes to the first token of a prompt.
func nominal(prompt galenastair.Tokens) time.Duration {
	return nominalBase + time.Duration(prompt)*nominalPerToken
}

func (h *health) progress(now time.Time) {
	h.unanswered = max(0, h.unanswered-1)
	h.lastProgress = now
}

// smooth adds a sample to a moving average. The first samples have equal weight.
func smooth[T float64 | time.Duration](old, sample T, samples int) T {
	return old + T(max(smoothing, 1/float64(samples))*float64(sample-old))
}

func (h *health) eject(now time.Time) {
	h.ejected = true
	h.ejectionTime = min(maxEjectionTime, max(baseEjectionTime, 2*h.ejectionTime))
	h.ejectedUntil = now.Add(h.ejectionTime)
	h.probing = false
	h.samples, h.interTokenSamples = 0, 0
	h.failures = 0
}

func (h *health) uneject() {
	h.ejected = false
	h.probing = false
}

// resetEjectionTime resets the doubling once a backend server has been healthy for longer
// than maxEjectionTime.
func (h *health) resetEjectionTime(now time.Time) {
	if !h.ejected && now.Sub(h.ejectedUntil) > maxEjectionTime {
		h.ejectionTime = 0
	}
}

// mayProbe reports whether one request may be sent to an ejected backend server as a probe.
func (h *health) mayProbe(now time.Time) bool {
	return h.ejected && !h.probing && now.After(h.ejectedUntil)
}
