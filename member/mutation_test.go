package member

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// mutation disables one rule and defines the schedules that reveal its absence.
type mutation struct {
	name   string
	rules  rules
	timing func(*Timing)
	// generate makes a schedule from a seed; nil means drawSchedule.
	generate func(*rand.Rand) []fault
	// members is the number of members at the start, if generate is set.
	members int
	seed    int
}

func tenths(r *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+r.IntN(most-least+1)) * 100 * time.Millisecond
}

// mutations lists the rules whose absence the model test detects, with a seed that reveals each.
var mutations = []mutation{
	// The watcher must append the Join and name its watch. An instance that appends its own Join
	// becomes the watcher of a member that does not know it, and so does one that joins by a delayed
	// copy of a Join.
	{name: "instance admits itself", rules: rules{selfAdmission: true}, seed: 1033},
	{
		name: "stale join takes effect", rules: rules{acceptStaleJoin: true}, members: 1, seed: 52,
		generate: func(r *rand.Rand) []fault {
			return []fault{
				{slowAppends, 8 * time.Second, 0, 20 * time.Second}, {join, 9 * time.Second, 1, 0},
				{isolate, tenths(r, 100, 130), 1, tenths(r, 45, 70)}, {isolate, tenths(r, 150, 190), 0, 40 * time.Second},
			}
		},
	},
	// An owner that has not applied the epoch that moved its role keeps acting.
	{name: "ack of any epoch counts", rules: rules{acceptAnyAck: true}, seed: 5},
	// The Lapse is applied after a grant that has extended the lease.
	{
		name: "lease granted while lapse is pending", rules: rules{grantWhileLapsePending: true}, members: 3, seed: 36,
		generate: func(r *rand.Rand) []fault {
			return []fault{{slowAppends, 8 * time.Second, 0, 40 * time.Second}, {isolate, 10 * time.Second, 1, tenths(r, 45, 90)}}
		},
	},
	// The new member watches a member that considers itself the sole one.
	{name: "sole member with pending join", rules: rules{soleMemberWithPendingJoin: true}, seed: 2383},
	{name: "takeover by time only", rules: rules{takeOverByTimeOnly: true}, seed: 5},
	{name: "lease counted from receipt", rules: rules{leaseFromReceipt: true}, seed: 180},
	{
		name: "renewal counted from receipt", rules: rules{renewalFromReceipt: true}, members: 3, seed: 16,
		generate: func(r *rand.Rand) []fault {
			at, d := tenths(r, 100, 140), tenths(r, 15, 38)
			return []fault{
				{cutNet, 8 * time.Second, 1, time.Minute}, {cutLog, at, 1, d},
				{cutLog, at + d + 100*time.Millisecond, 1, 20 * time.Second},
			}
		},
	},
	{name: "lease granted without own lease", rules: rules{grantWithoutLease: true}, seed: 3825},
	{name: "lapse despite newer renewal", rules: rules{lapseDespiteRenewal: true}, seed: 561},
	// The longer leases during an outage.
	{
		name: "old long grant counts after the lease was shortened", rules: rules{acceptOldLongGrant: true}, members: 3, seed: 121,
		generate: func(r *rand.Rand) []fault {
			d := tenths(r, 80, 150)
			return []fault{{logOutage, 8 * time.Second, 0, d}, {isolate, 8*time.Second + d + tenths(r, 1, 30), 1, 30 * time.Second}}
		},
	},
	{name: "takeover waits for short leases only", rules: rules{takeOverAfterShortGrant: true}, seed: 793},
	{
		name: "late heartbeat ends newer long lease", rules: rules{acceptReorderedHeartbeat: true}, members: 3, seed: 105,
		generate: func(r *rand.Rand) []fault {
			return []fault{
				{logOutage, 8 * time.Second, 0, tenths(r, 60, 140)},
				{isolate, 11*time.Second + tenths(r, 5, 45), 1, 40 * time.Second},
			}
		},
	},
	{
		name: "handover without the granted leases", rules: rules{handOverWithoutGrants: true}, members: 3, seed: 0,
		generate: func(r *rand.Rand) []fault {
			d := tenths(r, 60, 140)
			return []fault{
				{logOutage, 8 * time.Second, 0, d}, {isolate, 8*time.Second + d - tenths(r, 1, 10), r.IntN(3), 40 * time.Second},
				{join, 8*time.Second + d + tenths(r, 1, 30), 3, 0},
			}
		},
	},
	{
		name: "handover before earlier leases expired", rules: rules{handOverTooEarly: true}, members: 3, seed: 3,
		generate: func(r *rand.Rand) []fault {
			d, w := tenths(r, 60, 140), r.IntN(3)
			return []fault{
				{logOutage, 8 * time.Second, 0, d}, {isolate, 8*time.Second + d - tenths(r, 1, 10), w, 40 * time.Second},
				{leave, 8*time.Second + d + tenths(r, 5, 20), (w + 1 + r.IntN(2)) % 3, 0},
				{join, 8*time.Second + d + tenths(r, 20, 60), 3, 0},
			}
		},
	},
	{name: "no margin for clock drift", timing: func(t *Timing) { t.GrantDuration = t.LeaseDuration }, seed: 1602},
}

func (m mutation) schedule(seed int) schedule {
	if m.generate == nil {
		return drawSchedule(4).Example(seed)
	}
	return schedule{Seed: uint64(seed), Members: m.members, Faults: m.generate(rand.New(rand.NewPCG(uint64(seed), 7)))}
}

func (m mutation) run(seed int) string {
	t := modelTiming()
	if m.timing != nil {
		m.timing(&t)
	}
	return m.schedule(seed).run(m.rules, t).failure
}

// Verifies that the model can fail: disabling a rule breaks the model on its schedule, and the same
// schedule passes with the rule.
func TestModelDetectsEveryMutation(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.Equal(m.schedule(m.seed).run(rules{}, modelTiming()).failure, "")
			failure := m.run(m.seed)
			if failure == "" && os.Getenv("MEMBER_SEARCH") != "" {
				m.search(t)
			}
			is.True(failure != "")
			t.Log(failure)
		})
	}
}

// search logs the first seed that reveals a mutation, to be used after a change of the rules.
func (m mutation) search(t *testing.T) {
	for seed := range 20000 {
		if failure := m.run(seed); failure != "" {
			t.Logf("use seed %d: %s", seed, failure)
			return
		}
	}
}
