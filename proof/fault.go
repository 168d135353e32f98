package proof

import (
	"math/rand/v2"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults.
const (
	KillEntry         FaultKind = "KillEntry"
	KillEngine        FaultKind = "KillEngine"
	KillService       FaultKind = "KillService"
	PauseEntry        FaultKind = "PauseEntry"
	PauseLeader       FaultKind = "PauseLeader"
	KillLeader        FaultKind = "KillLeader"
	CutFromLog        FaultKind = "CutFromLog"
	CutPeer           FaultKind = "CutPeer"
	SilencePeer       FaultKind = "SilencePeer"
	SilenceEngine     FaultKind = "SilenceEngine"
	CutEngine         FaultKind = "CutEngine"
	LogOutage         FaultKind = "LogOutage"
	LogHang           FaultKind = "LogHang"
	SlowAppends       FaultKind = "SlowAppends"
	LostAnswers       FaultKind = "LostAnswers"
	ListFrozen        FaultKind = "ListFrozen"
	StopEntry         FaultKind = "StopEntry"
	StopEngine        FaultKind = "StopEngine"
	RacingOperators   FaultKind = "RacingOperators"
	WithdrawKey       FaultKind = "WithdrawKey"
	LoseOrders        FaultKind = "LoseOrders"
	LateOrders        FaultKind = "LateOrders"
	PoisonRequest     FaultKind = "PoisonRequest"
	ServiceLosesReply FaultKind = "ServiceLosesReply"
)

// plannedFault is one fault of a schedule. Its target is an index, which is taken
// modulo the number of processes or customers that the fault can hit.
type plannedFault struct {
	start    time.Duration
	kind     FaultKind
	target   int
	duration time.Duration
}

// durationRange bounds the random duration of a fault; zero stands for a fault
// without a duration.
type durationRange struct{ min, max time.Duration }

// faultKinds lists the faults that a schedule is drawn from. A pause lasts longer than
// a lease, so that the lease expires meanwhile; an outage of the log can last longer
// than both.
var faultKinds = []struct {
	kind FaultKind
	durationRange
}{
	{KillEntry, durationRange{}},
	{KillEngine, durationRange{}},
	{KillService, durationRange{}},
	{KillLeader, durationRange{}},
	{PauseEntry, durationRange{6 * time.Second, 9 * time.Second}},
	{PauseLeader, durationRange{6 * time.Second, 9 * time.Second}},
	{CutFromLog, durationRange{3 * time.Second, 8 * time.Second}},
	{CutPeer, durationRange{2 * time.Second, 6 * time.Second}},
	{SilencePeer, durationRange{}},
	{SilenceEngine, durationRange{}},
	{CutEngine, durationRange{}},
	{LogOutage, durationRange{4 * time.Second, 12 * time.Second}},
	{LogHang, durationRange{4 * time.Second, 12 * time.Second}},
	{SlowAppends, durationRange{3 * time.Second, 6 * time.Second}},
	{LostAnswers, durationRange{3 * time.Second, 6 * time.Second}},
	{ListFrozen, durationRange{3 * time.Second, 8 * time.Second}},
	{StopEntry, durationRange{}},
	{StopEngine, durationRange{}},
	{RacingOperators, durationRange{}},
	{WithdrawKey, durationRange{}},
	{LoseOrders, durationRange{2 * time.Second, 4 * time.Second}},
	{LateOrders, durationRange{2 * time.Second, 4 * time.Second}},
	{PoisonRequest, durationRange{}},
	{ServiceLosesReply, durationRange{time.Second, 2 * time.Second}},
}

// quietPeriod is the time without new faults at the start and the end of a run. The
// first shows that the fleet works without faults, the last that it recovers.
const quietPeriod = 3 * time.Second

// drawSchedule derives the faults of a run from its seed. Every kind is used once, in
// shuffled order, before any is used again, so that even a short run covers most.
// One fault in four is followed by the next without a pause, and one in six is
// repeated after it has ended.
func drawSchedule(seed uint64, length time.Duration, interval time.Duration) []plannedFault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var out []plannedFault
	at := quietPeriod
	for at < length-quietPeriod {
		for _, i := range rng.Perm(len(faultKinds)) {
			k := faultKinds[i]
			p := plannedFault{start: at, kind: k.kind, target: int(rng.Uint32N(1 << 16)), duration: k.min + randomDuration(rng, k.max-k.min)}
			out = append(out, p)
			if rng.IntN(6) == 0 {
				p.start += p.duration + interval/4
				out = append(out, p)
			}
			if rng.IntN(4) != 0 {
				at += interval/2 + randomDuration(rng, interval)
			}
			if at >= length-quietPeriod {
				break
			}
		}
	}
	return out
}

// killDelay is the time from the start of an outage to the kill of an entry.
const killDelay = 20 * time.Second

// schedule returns the faults of a run.
func (c RunConfig) schedule() []plannedFault {
	if c.Outage == 0 {
		return drawSchedule(c.Seed, c.Duration, c.FaultInterval)
	}
	out := []plannedFault{{start: quietPeriod, kind: LogOutage, duration: c.Outage}}
	if c.KillEntry {
		out = append(out, plannedFault{start: quietPeriod + killDelay, kind: KillEntry, target: int(c.Seed)})
	}
	return out
}

func randomDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(limit)))
}
