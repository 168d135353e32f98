package pool

import (
	"math"
	"time"

	"galenastair"
)

const (
	// prefillTokensPerSecond is the assumed prefill speed of an engine until answers are observed.
	// Only the proportions of these assumptions matter, since latencyRatio corrects for the actual
	// speed of a server.
	prefillTokensPerSecond = 20400
	// decodeStep is the assumed time of one step of an engine's batch.
	decodeStep = 10100 * time.Microsecond
	// decodeStepPerRequest is the time that each running request adds to a step.
	decodeStepPerRequest = 400 * time.Microsecond
	// modelLearningRate and serverLearningRate are the weights of a new answer in the latency
	// ratio of a model, which applies to all servers, and in that of a server.
	modelLearningRate  = 0.05
	serverLearningRate = 0.25
	// minRatio and maxRatio bound the effect of a single unusual answer.
	minRatio = 0.2
	maxRatio = 30
	// ratioDecay is the time constant with which a ratio above 1 decays. It is a few times as long
	// as a queue lasts.
	ratioDecay = 3 * time.Second
	// plainServiceTime is the assumed response time of a service without models.
	plainServiceTime = 20 * time.Millisecond
	// peerLoadHalfTime is the age at which a load reported by other instances counts half. It is
	// about the time that a prompt waits and is processed.
	peerLoadHalfTime = time.Second
)

// latencyRatio is the ratio of observed to predicted latency. A ratio above 1 decays, as the queue
// that caused it may be gone, and an instance that avoids the server would not observe that.
type latencyRatio struct {
	ratio float64
	at    time.Time
}

func (r *latencyRatio) value(now time.Time) float64 {
	if r == nil || r.ratio == 0 {
		return 1
	}
	if r.ratio <= 1 {
		return r.ratio
	}
	return 1 + (r.ratio-1)*math.Exp(-max(0, now.Sub(r.at).Seconds())/ratioDecay.Seconds())
}

func (r *latencyRatio) observe(now time.Time, ratio, weight float64) {
	v := r.value(now)
	r.ratio, r.at = min(maxRatio, max(minRatio, v*(1-weight)+v*ratio*weight)), now
}

// nominal predicts the time to the first event at a latency ratio of 1.
func (b *backend) nominal(now time.Time, q *Query) time.Duration {
	if !q.engine() {
		return b.nominalPlain(now)
	}
	tokens := float64(b.pendingTokens) + b.peerPendingTokens(now) + float64(q.PromptTokens-b.cache.match(q.keys, q.PromptParts))
	prefill := time.Duration(tokens / prefillTokensPerSecond * float64(time.Second))
	inFlight := float64(b.inFlight) + b.peerInFlight(now)
	decode := 2 * (decodeStep + time.Duration(inFlight*float64(decodeStepPerRequest)))
	return prefill + decode + b.slotWait(inFlight)
}

// slotWait is the wait for a slot if all are in use. Running requests finish one after the other,
// each after some hundred steps that all slots share.
func (b *backend) slotWait(inFlight float64) time.Duration {
	excess := inFlight - float64(b.Slots)
	if excess < 0 || b.Slots == 0 {
		return 0
	}
	return time.Duration((excess + 1) / float64(b.Slots) * float64(time.Second))
}

func (b *backend) nominalPlain(now time.Time) time.Duration {
	inFlight := float64(b.inFlight) + b.peerInFlight(now)
	queued := max(0, inFlight+1-float64(b.Slots))
	return plainServiceTime + time.Duration(queued/float64(max(1, b.Slots))*float64(plainServiceTime))
}

func (b *backend) peerPendingTokens(now time.Time) float64 {
	return b.peerLoad.PendingTokens * peerLoadWeight(now.Sub(b.peerLoadAt))
}

func (b *backend) peerInFlight(now time.Time) float64 {
	return b.peerLoad.InFlight * peerLoadWeight(now.Sub(b.peerLoadAt))
}

// peerLoadWeight decreases linearly from 1 to 0 at twice peerLoadHalfTime.
func peerLoadWeight(age time.Duration) float64 {
	return max(0, 1-float64(age)/float64(2*peerLoadHalfTime))
}

// Load is the load that the requests of one or more instances put on a backend server.
type Load struct {
	InFlight float64
	// PendingTokens is the number of prompt tokens of requests without a first event.
	PendingTokens float64
}

// Query describes the request to choose a server for.
type Query struct {
	Service galenastair.ServiceName
	galenastair.RequestHints
	// TargetLatency is the time within which the first event should arrive.
	TargetLatency time.Duration
	// TargetEventGap is the longest time between two events of a stream that is on time; 0 for other
	// answers. A server that reads prompts sends no events, so that a queue which is short against
	// the target latency already delays the streams that are running there.
	TargetEventGap time.Duration
	// NoRetry is set if the request must not be sent twice.
	NoRetry bool
	// Regions are those whose servers may run the request; empty for all.
	Regions []galenastair.Region
	// Version is the software version that may run the request; nil for any that MayBegin allows.
	Version *galenastair.SoftwareVersion
	// MayBegin reports whether a stream may begin at a software version; nil for all.
	MayBegin func(galenastair.SoftwareVersion) bool
	Exclude  []galenastair.BackendServerID
	// Spread has any healthy server chosen instead of the one with the lowest latency. Instances that
	// release waiting requests would otherwise all choose the server that was idle when they last
	// learned of its load.
	Spread bool

	keys []uint64
}

func (q *Query) allowsVersion(v galenastair.SoftwareVersion) bool {
	if q.Version != nil {
		return *q.Version == v
	}
	return q.MayBegin == nil || q.MayBegin(v)
}

func (q *Query) engine() bool { return q.Model != "" }
