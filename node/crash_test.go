package node

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/claim"
	"galenastair/settings"
)

// Guards against crashes that are forgotten when the leader is lost before it has announced them.
func TestNewLeaderLearnsOfCrashesReportedToTheLastOne(t *testing.T) {
	is := is.New(t)
	c := New(settings.Gateway{ID: "a", PeerAddress: "127.0.0.1:1", MemoryLimit: 1 << 30}).leaderClient
	c.topics = func() []topicState { return nil }
	crash := claim.Crash{Digest: "d", Server: "s1@1"}
	c.poisonTracker.RecordCrash(time.Now(), crash)
	c.lastChangeLeader = "last"
	r := c.buildReport()
	c.addKnown(&r, "last")
	is.True(slices.Contains(r.Crashes, crash))
	c.delivered.add(time.Now(), r.Crashes, r.PartEvents)
	r = c.buildReport()
	c.addKnown(&r, "last")
	is.True(!slices.Contains(r.Crashes, crash))
	c.addKnown(&r, "next")
	is.True(slices.Contains(r.Crashes, crash))
}

// Guards against a new leader that all instances of a large fleet tell of the crashes of the whole fleet.
func TestNewLeaderIsNotToldOfCrashesOfOthers(t *testing.T) {
	is := is.New(t)
	c := New(settings.Gateway{ID: "a", PeerAddress: "127.0.0.1:1", MemoryLimit: 1 << 30}).leaderClient
	c.topics = func() []topicState { return nil }
	c.poisonTracker.RecordRemoteCrash(time.Now(), claim.Crash{Digest: "d", Server: "s1@1"})
	r := c.buildReport()
	c.addKnown(&r, "next")
	is.Equal(len(r.Crashes), 0)
}
