package claim

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// newCrashTest returns a tracker, and crashes under parts of several servers, a second apart.
func newCrashTest() (t *CrashTracker, now time.Time, crash func(first, count int, parts ...Part)) {
	t = NewCrashTracker(NewPoisonTracker(nil), NewPartTracker(nil), nil)
	now = time.Unix(1000, 0)
	return t, now, func(first, count int, parts ...Part) {
		for n := range count {
			t.RecordCrash(now.Add(time.Duration(n)*time.Second), Run{Digest: Digest(fmt.Sprint(first, n)), Parts: parts, Server: processNumber(first + n)})
		}
	}
}

// Guards against a part that is cleared by a short response whose server crashes right after its end.
func TestCompletionBeforeACrashClearsNothing(t *testing.T) {
	for name, seenBy := range map[string]func(*CrashTracker, time.Time){
		"seen by this instance":     func(c *CrashTracker, at time.Time) { c.RecordCrash(at, Run{Digest: "other", Server: "s9@1"}) },
		"seen by another instance":  func(c *CrashTracker, at time.Time) { c.ServerCrashed(at, "s9@1") },
		"seen before the run ended": nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, now, crash := newCrashTest()
			crash(0, 3, deadly)
			end := now.Add(3 * time.Second)
			run := Run{Digest: "d", Parts: []Part{deadly}, Server: "s9@1", AnsweredSince: end.Add(-time.Millisecond)}
			if seenBy == nil {
				c.ServerCrashed(end, "s9@1")
			}
			c.RecordEnd(end, run, true)
			if seenBy != nil {
				seenBy(c, end.Add(lateCrashWindow/2))
			}
			later := end.Add(time.Minute)
			is.True(c.AllowParts(later, run.Parts) != nil)
			is.NoErr(c.AllowParts(later, []Part{other}))
		})
	}
}

// Guards against requests that are refused on and on, as the completions of others like them do not count.
func TestCompletionCountsOnceItsServerHasRunOn(t *testing.T) {
	is := is.New(t)
	var cleared []Run
	c := NewCrashTracker(NewPoisonTracker(nil), NewPartTracker(nil), func(r Run) { cleared = append(cleared, r) })
	now := time.Unix(1000, 0)
	for n := range 4 {
		c.RecordCrash(now.Add(time.Duration(n)*time.Second), Run{Digest: "d", Parts: []Part{shared}, Server: processNumber(n)})
	}
	end := now.Add(4 * time.Second)
	is.True(c.AllowParts(end, []Part{shared}) != nil)
	is.True(c.AllowRequest(end, "d") != nil)
	c.RecordEnd(end, Run{Digest: "d", Parts: []Part{shared}, Server: "s9@1"}, true)
	c.ServerSeen(end.Add(survivalTime-1), "s9@1")
	is.True(c.AllowParts(end.Add(survivalTime), []Part{shared}) != nil)
	c.ServerSeen(end.Add(survivalTime), "s9@1")
	is.NoErr(c.AllowParts(end.Add(survivalTime), []Part{shared}))
	is.NoErr(c.AllowRequest(end.Add(survivalTime), "d"))
	is.Equal(len(cleared), 1)
}

// Guards against completions that are lost because their servers crash some time later, for another request.
func TestCompletionThatItsServerOutlivesCounts(t *testing.T) {
	is := is.New(t)
	c, now, crash := newCrashTest()
	crash(0, 4, shared)
	end := now.Add(4 * time.Second)
	c.RecordEnd(end, Run{Parts: []Part{shared}, Server: "s9@1"}, true)
	c.ServerCrashed(end.Add(survivalTime), "s9@1")
	is.NoErr(c.AllowParts(end.Add(survivalTime), []Part{shared}))

	c, _, crash = newCrashTest()
	crash(0, 4, deadly)
	c.RecordEnd(end, Run{Parts: []Part{deadly}, Server: "s9@1"}, true)
	c.ServerCrashed(end.Add(survivalTime-1), "s9@1")
	is.True(c.AllowParts(end.Add(time.Minute), []Part{deadly}) != nil)
}

// Guards against a part that is never blamed, as its callers leave, or its responses end, before their servers crash.
func TestRunThatEndsRightBeforeACrashIsBlamed(t *testing.T) {
	for _, completed := range []bool{false, true} {
		is := is.New(t)
		c, now, _ := newCrashTest()
		for n := range 4 {
			end := now.Add(time.Duration(n) * time.Second)
			c.RecordEnd(end, Run{Parts: []Part{deadly}, Server: processNumber(n)}, completed)
			c.RecordEnd(end.Add(-lateCrashWindow), Run{Parts: []Part{rare}, Server: processNumber(n)}, completed)
			c.ServerCrashed(end.Add(10*time.Millisecond), processNumber(n))
		}
		is.True(c.AllowParts(now.Add(10*time.Second), []Part{deadly}) != nil)
		is.NoErr(c.AllowParts(now.Add(10*time.Second), []Part{rare}))
	}
}

// Guards against a part that many requests share and that is refused for long, as servers were lost one after the other.
func TestPartThatWasCompletedLatelyIsRefusedBriefly(t *testing.T) {
	is := is.New(t)
	c, now, crash := newCrashTest()
	c.RecordEnd(now.Add(-survivalTime), Run{Parts: []Part{shared}, Server: "s9@1"}, true)
	c.ServerSeen(now, "s9@1")
	crash(0, 6, shared)
	last := now.Add(5 * time.Second)
	var refused *galenastair.Refusal
	is.True(errors.As(c.AllowParts(last, []Part{shared}), &refused))
	is.Equal(refused.RetryAfter, completedPartRefusal)
	is.NoErr(c.AllowParts(last.Add(completedPartRefusal), []Part{shared}))
	is.Equal(len(c.parts.Suspected(last)), 0)
}

// Guards against a part that crashes servers and is allowed, as other parts share some of its crashes.
func TestPartIsRefusedBesideOthersThatShareSomeCrashes(t *testing.T) {
	is := is.New(t)
	c, now, crash := newCrashTest()
	crash(0, 3, deadly, rare)
	crash(3, 2, deadly)
	crash(5, 2, rare)
	is.True(c.AllowParts(now.Add(10*time.Second), []Part{deadly}) != nil)

	c, now, crash = newCrashTest()
	c.RecordEnd(now.Add(-survivalTime), Run{Parts: []Part{shared}, Server: "s9@1"}, true)
	c.ServerSeen(now, "s9@1")
	crash(0, 5, deadly, shared)
	is.True(c.AllowParts(now.Add(5*time.Second), []Part{deadly}) != nil)
	is.NoErr(c.AllowParts(now.Add(5*time.Second), []Part{shared}))
}

// Guards against a completion that clears a part, as nobody saw when its server crashed.
func TestCompletionBeforeAServerIsGoneClearsNothing(t *testing.T) {
	is := is.New(t)
	c, now, crash := newCrashTest()
	crash(0, 4, deadly)
	end := now.Add(4 * time.Second)
	run := func(part Part) Run { return Run{Parts: []Part{part}, Server: "s9@1"} }
	c.RecordEnd(end.Add(-survivalTime), run(shared), true)
	c.RecordEnd(end, run(deadly), true)
	c.ServerGone("s9@1")
	c.ServerGone("s8@1")
	is.Equal(len(c.parts.records[deadly].servers), 5)
	is.True(c.parts.completed.contains(end, shared))
	is.True(!c.parts.completed.contains(end, deadly))
}

// Guards against a part that is cleared by a response although its server was not seen since, and against one that is
// never cleared, as refused requests bring no sign of life.
func TestCompletionOfASilentServerCountsLater(t *testing.T) {
	is := is.New(t)
	c, now, crash := newCrashTest()
	crash(0, 4, shared)
	end := now.Add(4 * time.Second)
	c.RecordEnd(end, Run{Parts: []Part{shared}, Server: "s9@1"}, true)
	// a run that was given up is no sign of life
	c.RecordEnd(end.Add(survivalTime), Run{Parts: []Part{other}, Server: "s9@1"}, false)
	c.Settle(end.Add(silenceTime - 1))
	is.True(c.AllowParts(end.Add(silenceTime-1), []Part{shared}) != nil)
	c.Settle(end.Add(silenceTime))
	is.NoErr(c.AllowParts(end.Add(silenceTime), []Part{shared}))
}

// Guards against a part that is sent on, as another one lies in nearly all of its crashes, and against that one's refusal.
func TestPartWithTheMostCrashesIsRefused(t *testing.T) {
	is := is.New(t)
	c, now, crash := newCrashTest()
	crash(0, 4, rare, deadly)
	crash(4, 1, deadly)
	last := now.Add(3 * time.Second)
	is.NoErr(c.AllowParts(last.Add(trialWindow-1), []Part{deadly}))
	is.True(c.AllowParts(last.Add(trialWindow), []Part{deadly}) != nil)
	is.NoErr(c.AllowParts(last.Add(trialWindow), []Part{rare}))
	// a trial lets a part be cleared that is blamed wrongly
	is.NoErr(c.AllowParts(last.Add(trialInterval), []Part{deadly}))
}

// Guards against runs that count as crashes because a connection of their server was once cut.
func TestServerThatRunsOnAfterAReportedCrashIsNotBlamed(t *testing.T) {
	is := is.New(t)
	c, now, crash := newCrashTest()
	crash(0, 4, shared)
	end := now.Add(10 * time.Second)
	c.ServerCrashed(end.Add(-time.Second), "s9@1")
	c.RecordEnd(end, Run{Parts: []Part{shared}, Server: "s9@1"}, true)
	c.ServerSeen(end.Add(survivalTime), "s9@1")
	is.NoErr(c.AllowParts(end.Add(survivalTime), []Part{shared}))
}

// Guards against a memory that grows with the runs and the restarts of servers.
func TestEndedRunsAreBounded(t *testing.T) {
	is := is.New(t)
	c, now, _ := newCrashTest()
	for n := range 2 * maxEndedRuns {
		c.RecordEnd(now, Run{Parts: []Part{shared}, Server: "s1@1"}, true)
		c.RecordEnd(now, Run{Parts: []Part{shared}, Server: processNumber(n + 10)}, true)
	}
	is.Equal(len(c.servers["s1@1"].ended), maxEndedRuns)
	c.ServerCrashed(now, "s1@1")
	c.RecordEnd(now, Run{Parts: []Part{shared}, Server: "s1@1"}, true)
	is.Equal(len(c.servers["s1@1"].ended), 0)
	c.Settle(now.Add(silenceTime))
	is.Equal(len(c.servers), 0)
}
