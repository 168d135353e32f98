package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against the refusal of requests that failed repeatedly at one faulty server.
func TestCrashesOfOneServerCountOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var announced []Crash
	p := NewPoisonTracker(func(c Crash) { announced = append(announced, c) })
	for range 5 {
		is.True(p.RecordCrash(now, Crash{"d", "s1@1"}))
		p.RecordRemoteCrash(now, Crash{"d", "s1@1"})
	}
	is.Equal(len(announced), 1)
	is.NoErr(p.Allow(now, "d"))
	is.True(!p.RecordCrash(now, Crash{"d", "s1@2"}))
	is.True(p.Allow(now, "d") != nil)
}

// Guards against a count that starts anew, so that a request that comes seldom crashes one server after the other.
func TestCrashesFarApartCountTogether(t *testing.T) {
	for name, completedBefore := range map[string]bool{"never completed": false, "completed before": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			p := NewPoisonTracker(nil, WithCrashLimit(3), WithCompletionWindow(20*time.Second))
			if completedBefore {
				p.RecordSuccess(now, "d")
			}
			is.True(p.RecordCrash(now.Add(time.Second), Crash{"d", "s1@1"}))
			is.True(p.RecordCrash(now.Add(2*time.Second), Crash{"d", "s2@1"}))
			last := now.Add(refusalDuration)
			is.True(!p.RecordCrash(last, Crash{"d", "s3@1"}))
			is.True(p.Allow(last.Add(refusalDuration-1), "d") != nil)
			is.NoErr(p.Allow(last.Add(refusalDuration), "d"))
		})
	}
}

// Guards against a sound request that is refused as unrelated crashes add up at instances that did not complete it.
func TestCompletionClearsCrashesOnAllInstances(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	there := NewPoisonTracker(nil, WithCrashLimit(3))
	here := NewPoisonTracker(func(c Crash) { there.RecordRemoteCrash(now, c) }, WithCrashLimit(3))
	for n := range 10 {
		now = now.Add(time.Minute)
		here.RecordCrash(now, Crash{"d", processNumber(2 * n)})
		here.RecordCrash(now, Crash{"d", processNumber(2*n + 1)})
		is.NoErr(there.Allow(now, "d"))
		is.True(here.RecordSuccess(now, "d"))
		is.True(!here.RecordSuccess(now, "d"))
	}
}

// Guards against a flood of requests that were lost with a server, which makes a request be forgotten that has crashed several.
func TestRequestsWithFewestCrashesAreEvictedFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := NewPoisonTracker(nil, WithCrashLimit(3))
	p.RecordCrash(now, Crash{"d", "s1@1"})
	p.RecordCrash(now, Crash{"d", "s2@1"})
	for n := range 2 * maxPoisonEntries {
		p.RecordCrash(now.Add(time.Second), Crash{Digest(fmt.Sprint(n)), "s3@1"})
	}
	is.True(len(p.crashes) <= maxPoisonEntries)
	is.True(!p.RecordCrash(now.Add(2*time.Second), Crash{"d", "s4@1"}))
}

// Guards against the refusal of a request that is repeated all the time and was running on each server
// that failed in an outage.
func TestRequestThatServersCompleteIsNotBlamedForAnOutage(t *testing.T) {
	is := is.New(t)
	const window = 20 * time.Second
	now := time.Unix(1000, 0)
	p := NewPoisonTracker(nil, WithCrashLimit(3), WithCompletionWindow(window))
	p.RecordSuccess(now, "hot")
	outage := now.Add(window - 1)
	for _, server := range []ServerProcess{"s1@1", "s2@1", "s3@1"} {
		is.True(p.RecordCrash(outage, Crash{"hot", server}))
		p.RecordRemoteCrash(outage, Crash{"hot", server})
	}
	is.NoErr(p.Allow(outage, "hot"))
	later := now.Add(window)
	for _, server := range []ServerProcess{"s1@1", "s2@1", "s3@1"} {
		p.RecordCrash(later, Crash{"hot", server})
	}
	is.True(p.Allow(later, "hot") != nil)
}

// Guards against a request that an instance sends on, as it was completed once before it began to crash servers.
func TestCrashesAfterACompletionCount(t *testing.T) {
	for name, record := range map[string]func(*PoisonTracker, time.Time, Crash){
		"own":       func(p *PoisonTracker, now time.Time, c Crash) { p.RecordCrash(now, c) },
		"announced": func(p *PoisonTracker, now time.Time, c Crash) { p.RecordRemoteCrash(now, c) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			p := NewPoisonTracker(nil, WithCrashLimit(3), WithCompletionWindow(20*time.Second))
			p.RecordSuccess(now, "d")
			for _, server := range []ServerProcess{"s1@1", "s2@1", "s3@1"} {
				now = now.Add(time.Second)
				is.NoErr(p.Allow(now, "d"))
				record(p, now, Crash{"d", server})
			}
			is.True(p.Allow(now, "d") != nil)
		})
	}
}

// Guards against a record of completed requests that grows without bound.
func TestCompletionsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := completions[Digest]{window: time.Hour}
	for i := range 3 * maxPoisonEntries {
		c.add(now, Digest(fmt.Sprint(i)))
	}
	is.True(len(c.current)+len(c.previous) <= 2*maxPoisonEntries)
	is.True(c.contains(now, Digest(fmt.Sprint(3*maxPoisonEntries-1))))
}
