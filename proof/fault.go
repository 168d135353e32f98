package proof

import (
	"math/rand/v2"
	"time"
)

// FaultKind says what is done to the fleet.
type FaultKind string

// The kinds of fault.
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

// planned is one fault of a schedule.
type planned struct {
	at       time.Duration
	kind     FaultKind
	target   int
	duration time.Duration
}

// span is how long a kind of fault lasts.
type span struct{ least, most time.Duration }

// kinds lists what a schedule draws from, with how long each lasts. A pause is
// longer than a lease; an outage of the log is longer than both.
var kinds = []struct {
	kind FaultKind
	span
}{
	{KillEntry, span{}},
	{KillEngine, span{}},
	{KillService, span{}},
	{KillLeader, span{}},
	{PauseEntry, span{6 * time.Second, 9 * time.Second}},
	{PauseLeader, span{6 * time.Second, 9 * time.Second}},
	{CutFromLog, span{3 * time.Second, 8 * time.Second}},
	{CutPeer, span{2 * time.Second, 6 * time.Second}},
	{SilencePeer, span{}},
	{SilenceEngine, span{}},
	{CutEngine, span{}},
	{LogOutage, span{4 * time.Second, 12 * time.Second}},
	{LogHang, span{4 * time.Second, 12 * time.Second}},
	{SlowAppends, span{3 * time.Second, 6 * time.Second}},
	{LostAnswers, span{3 * time.Second, 6 * time.Second}},
	{ListFrozen, span{3 * time.Second, 8 * time.Second}},
	{StopEntry, span{}},
	{StopEngine, span{}},
	{RacingOperators, span{}},
	{WithdrawKey, span{}},
	{LoseOrders, span{2 * time.Second, 4 * time.Second}},
	{LateOrders, span{2 * time.Second, 4 * time.Second}},
	{PoisonRequest, span{}},
	{ServiceLosesReply, span{time.Second, 2 * time.Second}},
}

// calm is how long a run is left alone at its start and end: the first shows
// that the fleet works at all, the last that it recovers.
const calm = 3 * time.Second

// schedule draws the faults of a run from its seed. Every kind comes once in
// shuffled order before any comes twice, so that even a short run sees most; one
// in four comes together with the one before, and one in six twice in a row.
func schedule(seed uint64, length time.Duration, pace time.Duration) []planned {
	rng := rand.New(rand.NewPCG(seed, 0))
	var out []planned
	at := calm
	for at < length-calm {
		for _, i := range rng.Perm(len(kinds)) {
			k := kinds[i]
			p := planned{at: at, kind: k.kind, target: int(rng.Uint32N(1 << 16)), duration: k.least + jitter(rng, k.most-k.least)}
			out = append(out, p)
			if rng.IntN(6) == 0 {
				p.at += p.duration + pace/4
				out = append(out, p)
			}
			if rng.IntN(4) != 0 {
				at += pace/2 + jitter(rng, pace)
			}
			if at >= length-calm {
				break
			}
		}
	}
	return out
}

// killAfter is how far into an outage an entry is killed.
const killAfter = 20 * time.Second

// faults returns what a plan does to the fleet.
func (p Plan) faults() []planned {
	if p.Outage == 0 {
		return schedule(p.Seed, p.Length, p.Pace)
	}
	out := []planned{{at: calm, kind: LogOutage, duration: p.Outage}}
	if p.Kill {
		out = append(out, planned{at: calm + killAfter, kind: KillEntry, target: int(p.Seed)})
	}
	return out
}

func jitter(rng *rand.Rand, most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(most)))
}
