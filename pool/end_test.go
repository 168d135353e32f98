package pool

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/speed"
)

// announceEnd has a server announce that it leaves and ends at a time.
func announceEnd(p *Pool, now time.Time, id galenastair.BackendServerID, goneAt time.Time) {
	s := p.backends[id].Server
	s.Heartbeat++
	s.Leaving, s.LeavingSince, s.GoneAt = true, now, goneAt
	p.Set(now, s)
}

// Guards against requests that a server cuts off when it ends, as it has announced. A short request may
// still go there if no other server has the model.
func TestServerThatEndsGetsOnlyWhatEndsBefore(t *testing.T) {
	is := is.New(t)
	p := testPool(WithLeaveGrace(2 * time.Second))
	p.Remove("s2")
	p.Remove("s3")
	short, long := testQuery(), testQuery()
	short.OutputTokens, long.OutputTokens = 20, 2000 // 40 ms and 4 s at the initial time per token
	announceEnd(p, start, "s1", start.Add(1500*time.Millisecond))
	c, ok := p.Choose(start, short)
	is.True(ok)
	is.Equal(c.Reason, ReasonLastCopy)
	is.True(p.EndsBeforeServer(start, "s1", short))
	none, ok := p.Choose(start, long)
	is.True(!ok)
	is.Equal(none.Reason, ReasonNoServer)
	is.True(!p.EndsBeforeServer(start, "s1", long))
	unknown := testQuery()
	unknown.OutputTokens = 0
	is.True(!p.EndsBeforeServer(start, "s1", unknown))
	_, ok = p.Choose(start.Add(1400*time.Millisecond), short)
	is.True(!ok)
	is.True(p.Usable(start.Add(1500*time.Millisecond-1), "s1"))
	is.True(!p.Usable(start.Add(1500*time.Millisecond), "s1"))
}

// Guards against an estimate that ignores how slowly a model's answers have been observed to end.
func TestObservedTimePerTokenDecidesWhetherARequestEndsInTime(t *testing.T) {
	is := is.New(t)
	p := testPool(WithLeaveGrace(2 * time.Second))
	q := testQuery()
	announceEnd(p, start, "s1", start.Add(1500*time.Millisecond))
	is.True(p.EndsBeforeServer(start, "s1", q))
	for range 100 {
		a := p.Begin(start, "s2", q)
		a.Started(start.Add(100 * time.Millisecond))
		a.End(start.Add(3*time.Second), Succeeded)
	}
	is.True(!p.EndsBeforeServer(start, "s1", q))
}

// Guards against an estimate by the fleet's time per token for a server that is known to be slower.
func TestSpeedFactorDecidesWhetherARequestEndsInTime(t *testing.T) {
	is := is.New(t)
	p := testPool(WithLeaveGrace(2*time.Second), WithServerSpeeds())
	q := testQuery()
	q.OutputTokens = 400 // 0.8 s at the initial time per token
	announceEnd(p, start, "s1", start.Add(1500*time.Millisecond))
	is.True(p.EndsBeforeServer(start, "s1", q))
	p.SetSpeeds(start, speed.Update{Factors: []speed.Factor{{Server: p.backends["s1"].speedKey, Ratio: 2}}})
	is.True(!p.EndsBeforeServer(start, "s1", q))
}

// Guards against requests of a service without models that are sent to a server just before it ends.
func TestPlainServerThatEndsGetsNoLateRequest(t *testing.T) {
	is := is.New(t)
	p := New("z1", WithLeaveGrace(2*time.Second))
	p.Set(start, Server{ID: "p1", Service: "app", AvailabilityZone: "z1", Slots: 6, Incarnation: 1, Heartbeat: 1})
	q := Query{Service: "app", TargetLatency: 150 * time.Millisecond, NoRetry: true}
	end := start.Add(time.Second)
	announceEnd(p, start, "p1", end)
	_, ok := p.Choose(start, q)
	is.True(ok)
	_, ok = p.Choose(end.Add(-3*plainServiceTime), q)
	is.True(ok)
	_, ok = p.Choose(end.Add(-2*plainServiceTime), q)
	is.True(!ok)
}

// Guards against an estimate for the rest of an answer that counts from the wrong time, and against one
// for servers that have announced no end.
func TestServerEndOfARunningAnswer(t *testing.T) {
	is := is.New(t)
	p := testPool()
	q := testQuery()
	a := p.Begin(start, "s1", q)
	begun := start.Add(200 * time.Millisecond)
	a.Started(begun)
	_, _, announced := a.ServerEnd()
	is.True(!announced)
	end := start.Add(time.Second)
	announceEnd(p, start, "s1", end)
	goneAt, answerEnd, announced := a.ServerEnd()
	is.True(announced)
	is.Equal(goneAt, end)
	is.Equal(answerEnd, begun.Add(20*initialDecodeTime))
	p.Remove("s1")
	is.True(!a.ServerEnded(end.Add(-1)))
	is.True(a.ServerEnded(end))
}

// Plays a fleet's load on ten servers, one of which announces that it ends in four seconds, when half of
// its requests take longer than that. Guards against requests that are cut off though others could take
// them, and against a server that gets nothing after an announcement that was withdrawn.
func TestRequestsAreNotCutByAnAnnouncedEnd(t *testing.T) {
	is := is.New(t)
	p := New("z1", WithLeaveGrace(2*time.Second))
	for i := range 10 {
		p.Set(start, Server{ID: galenastair.BackendServerID("s" + strconv.Itoa(i)), Service: "writer", AvailabilityZone: "z1",
			Slots: 64, Incarnation: 1, Heartbeat: 1, Models: []galenastair.LoadedModel{{Name: "m"}}})
	}
	end := start.Add(4 * time.Second)
	announceEnd(p, start, "s0", end)
	for n := range 400 {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		q := Query{Service: "writer", TargetLatency: time.Second, RequestHints: galenastair.RequestHints{Model: "m", PromptTokens: 500, OutputTokens: galenastair.Tokens(10 + n%2*2000)}}
		c, ok := p.Choose(now, q)
		is.True(ok)
		is.True(c.ID != "s0")
	}
	s := p.backends["s0"].Server
	s.Heartbeat, s.Leaving, s.GoneAt = 9, false, time.Time{}
	p.Set(end, s)
	got := false
	for range 200 {
		c, ok := p.Choose(end, testQuery())
		is.True(ok)
		got = got || c.ID == "s0"
	}
	is.True(got)
}
