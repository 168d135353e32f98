package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

const (
	shared Part = iota + 1
	deadly
	rare
	other
)

func processNumber(n int) ServerProcess { return ServerProcess(fmt.Sprintf("s%d@1", n)) }

// crashRepeatedly has servers crash under parts, a second apart, and returns the time of the last.
func crashRepeatedly(p *PartTracker, now time.Time, first, count int, parts ...Part) time.Time {
	for n := range count {
		now = now.Add(time.Second)
		p.RecordCrash(now, parts, processNumber(first+n))
	}
	return now
}

// Guards against the refusal of requests that shared a part, or a server, with the ones that crash it.
func TestOnlyThePartThatCrashesServersIsRefused(t *testing.T) {
	is := is.New(t)
	p := NewPartTracker(nil)
	now := crashRepeatedly(p, time.Unix(1000, 0), 0, 7, shared, deadly)
	crashRepeatedly(p, time.Unix(1000, 0), 0, 4, shared, rare)
	is.True(p.Allow(now, []Part{shared, deadly}) != nil)
	is.NoErr(p.Allow(now, []Part{shared, rare}))
	is.NoErr(p.Allow(now, []Part{shared}))
	is.NoErr(p.Allow(now, []Part{shared, other}))
	p.RecordSuccess(now, []Part{shared, rare})
	is.NoErr(p.Allow(now, []Part{shared, rare}))
	is.True(p.Allow(now, []Part{deadly}) != nil)
}

// Guards against a part that is never refused, as another one crashes servers too.
func TestTwoPartsThatCrashServersAreRefused(t *testing.T) {
	is := is.New(t)
	p := NewPartTracker(nil)
	now := crashRepeatedly(p, time.Unix(1000, 0), 0, 5, shared, deadly)
	crashRepeatedly(p, time.Unix(1000, 0), 10, 5, shared, rare)
	p.RecordSuccess(now, []Part{shared})
	is.True(p.Allow(now, []Part{shared, deadly}) != nil)
	is.True(p.Allow(now, []Part{shared, rare}) != nil)
	is.NoErr(p.Allow(now, []Part{shared}))
}

// Guards against the refusal of a part that many requests share, because many servers were lost at once.
func TestPartIsNotBlamedForALossOfManyServers(t *testing.T) {
	is := is.New(t)
	p := NewPartTracker(nil)
	now := time.Unix(1000, 0)
	for n := range 10 {
		p.RecordCrash(now.Add(time.Duration(n)*10*time.Millisecond), []Part{shared}, processNumber(n))
	}
	is.NoErr(p.Allow(now.Add(time.Second), []Part{shared}))
	p.RecordSuccess(now.Add(time.Second), []Part{shared})
	later := crashRepeatedly(p, now.Add(time.Second), 20, 3, shared)
	is.NoErr(p.Allow(later, []Part{shared}))
}

// Guards against one server that fails on and on, and makes a sound part look as if it crashed many.
func TestCrashesOfOneServerCountOncePerPart(t *testing.T) {
	is := is.New(t)
	p := NewPartTracker(nil)
	now := time.Unix(1000, 0)
	for n := range 10 {
		p.RecordCrash(now.Add(time.Duration(n)*time.Second), []Part{shared}, processNumber(1))
	}
	is.NoErr(p.Allow(now.Add(10*time.Second), []Part{shared}))
}

// Guards against instances that forget or never learn a part that others refuse, or refuse it for ever.
func TestSuspicionIsHandedOver(t *testing.T) {
	is := is.New(t)
	var announced []PartEvent
	p := NewPartTracker(func(e PartEvent) { announced = append(announced, e) })
	now := crashRepeatedly(p, time.Unix(1000, 0), 0, 5, deadly)
	told, restored := NewPartTracker(nil), NewPartTracker(nil)
	for _, e := range announced {
		told.Apply(now, e)
	}
	restored.Restore(now, p.Suspected(now))
	for _, tracker := range []*PartTracker{p, told, restored} {
		is.True(tracker.Allow(now.Add(refusalDuration-1), []Part{deadly}) != nil)
		is.NoErr(tracker.Allow(now.Add(refusalDuration), []Part{deadly}))
	}
	p.RecordSuccess(now, []Part{deadly, rare})
	is.Equal(len(announced), 6)
	told.Apply(now, announced[5])
	is.NoErr(told.Allow(now, []Part{deadly}))
}

// Guards against a count that starts anew, so that a part that comes seldom crashes one server after the other.
func TestCrashesFarApartCountTogetherForAPart(t *testing.T) {
	is := is.New(t)
	p := NewPartTracker(nil)
	now := time.Unix(1000, 0)
	for n := range defaultMaxPartCrashes {
		is.NoErr(p.Allow(now, []Part{deadly}))
		p.RecordCrash(now, []Part{shared, deadly}, processNumber(n))
		p.RecordSuccess(now, []Part{shared})
		now = now.Add(refusalDuration - 1)
	}
	is.True(p.Allow(now, []Part{deadly}) != nil)
	is.NoErr(p.Allow(now, []Part{shared}))
}

// Guards against a memory that grows with the parts of the requests that were lost.
func TestPartsAreBounded(t *testing.T) {
	is := is.New(t)
	p := NewPartTracker(nil)
	now := time.Unix(1000, 0)
	for n := range 2 * maxPoisonEntries {
		p.RecordCrash(now, []Part{Part(n + 10)}, processNumber(n))
	}
	is.True(len(p.records) <= maxPoisonEntries)
	for n := range 2 * maxPartServers {
		p.RecordCrash(now, []Part{deadly}, processNumber(n))
	}
	is.Equal(len(p.records[deadly].servers), maxPartServers)
}

// Guards against requests that are refused for the part that is theirs alone.
func TestLastPartOfAPromptIsIgnored(t *testing.T) {
	is := is.New(t)
	parts := []galenastair.PromptPart{{ID: "a"}, {ID: "b"}}
	is.Equal(PartsOf("s", parts), PartsOf("s", append(parts[:1:1], galenastair.PromptPart{ID: "c"})))
	is.Equal(len(PartsOf("s", parts)), 1)
	is.Equal(len(PartsOf("s", nil)), 0)
	is.True(PartsOf("s", parts)[0] != PartsOf("t", parts)[0])
}
