package planner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/claim"
)

// Guards against crashes under a part that count for an instance after the part has been cleared, and
// against one announcement for each instance that clears it.
func TestClearedPartsAreAnnouncedOnce(t *testing.T) {
	is := is.New(t)
	p := &Planner{suspected: func(time.Time) []claim.PartEvent { return nil }}
	now := time.Unix(1000, 0)
	report := func(from galenastair.InstanceID, events ...claim.PartEvent) {
		p.addPartEvents(now, Report{Instance: from, PartEvents: events})
	}
	crash := func(s claim.ServerProcess) claim.PartEvent { return claim.PartEvent{Part: 1, Server: s, At: now} }
	clearance := claim.PartEvent{Part: 1, At: now}
	report("a", crash("s1"), crash("s2"))
	report("b", crash("s1"), clearance)
	report("c", clearance)
	report("c", crash("s3"))
	is.Equal(p.partEventsSince(now, Report{Instance: "d"}), []claim.PartEvent{clearance, crash("s3")})
	report("a", clearance)
	is.Equal(p.partEventsSince(now, Report{Instance: "d"}), []claim.PartEvent{clearance})
	is.Equal(len(p.partEventsSince(now, Report{Instance: "a"})), 0)
}

// Guards against an instance that has missed announcements and does not know which parts are refused.
func TestSuspectedPartsReachInstancesThatMissedThem(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	e := claim.PartEvent{Part: 1, Server: "s1", At: now}
	p := &Planner{suspected: func(time.Time) []claim.PartEvent { return []claim.PartEvent{e} }}
	p.addPartEvents(now, Report{Instance: "a", PartEvents: []claim.PartEvent{e}})
	p.expirePartEvents(now.Add(changeTTL + 1))
	is.Equal(p.partEventsSince(now, Report{Instance: "b"}), []claim.PartEvent{e})
	is.Equal(len(p.partEventsSince(now, Report{Instance: "b", LastChange: 1})), 0)
}
