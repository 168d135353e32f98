package claim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	loadServers    = 9
	loadInstances  = 6
	loadClasses    = 3
	loadAttempts   = 2
	restartTime    = 3 * time.Second
	announceTime   = 450 * time.Millisecond
	firstEventTime = 300 * time.Millisecond
	settleInterval = 300 * time.Millisecond
	// Servers crash or are lost from troubleStart on; servers are lost until lossEnd.
	troubleStart = 4 * time.Second
	lossEnd      = 14 * time.Second
	// refusalTime after the fifth crash at most maxLateCrashes servers more may crash under a part.
	refusalTime    = 3 * time.Second
	maxLateCrashes = 3
)

// crashLoad plays requests to servers, of which some crash, and instances that tell each other what they see.
type crashLoad struct {
	// badShare is the share of requests with a part that crashes servers, crashDelay the time from the first
	// event to the crash.
	badShare   float64
	crashDelay time.Duration
	// lossInterval is the time between servers that are lost for other reasons; 0 for none.
	lossInterval time.Duration

	rng        *rand.Rand
	began, now time.Time
	trackers   []*CrashTracker
	timeline   []loadEvent
	servers    [loadServers]loadServer
	crashes    []time.Time
	// sent and refused count first attempts of sound requests by their classes, after the trouble has begun.
	sent, refused [loadClasses]int
}

type loadEvent struct {
	at  time.Time
	act func()
}

type loadServer struct {
	starts    int
	downUntil time.Time
	running   []*loadRequest
}

type loadRequest struct {
	run      Run
	class    int
	bad      bool
	instance int
	attempts int
	left     time.Duration
}

func newCrashLoad(seed uint64) *crashLoad {
	l := &crashLoad{rng: rand.New(rand.NewPCG(seed, 7)), began: time.Unix(1000, 0), now: time.Unix(1000, 0)}
	for i := range loadInstances {
		parts := NewPartTracker(func(e PartEvent) { l.after(announceTime, func() { l.announce(i, e) }) })
		l.trackers = append(l.trackers, NewCrashTracker(NewPoisonTracker(nil), parts, nil))
	}
	return l
}

func (l *crashLoad) announce(from int, e PartEvent) {
	for i, t := range l.trackers {
		if i == from {
			continue
		}
		t.parts.Apply(l.now, e)
		if !e.IsClear() {
			t.ServerCrashed(e.At, e.Server)
		}
	}
}

func (l *crashLoad) after(d time.Duration, act func()) {
	e := loadEvent{l.now.Add(d), act}
	at, _ := slices.BinarySearchFunc(l.timeline, e, func(a, b loadEvent) int { return cmp.Or(a.at.Compare(b.at), -1) })
	l.timeline = slices.Insert(l.timeline, at, e)
}

// arrive has requests arrive, 25 ms apart in the mean.
func (l *crashLoad) arrive() {
	l.after(time.Duration(l.rng.ExpFloat64()*float64(25*time.Millisecond)), l.arrive)
	class := l.rng.IntN(loadClasses)
	r := &loadRequest{class: class, instance: l.rng.IntN(loadInstances), left: time.Duration(1+l.rng.IntN(3000)) * time.Millisecond}
	r.run.Digest = Digest(fmt.Sprint(l.rng.Uint64()))
	r.run.Parts = []Part{Part(10 + class), Part(100 + l.rng.IntN(5)), Part(1000*(class+1) + l.rng.IntN(300))}
	if class == 0 && l.now.Sub(l.began) > troubleStart && l.rng.Float64() < l.badShare {
		r.bad, r.run.Parts[2] = true, deadly
	}
	l.send(r)
}

func (l *crashLoad) send(r *loadRequest) {
	t := l.trackers[r.instance]
	refused := t.AllowParts(l.now, r.run.Parts) != nil
	if !r.bad && r.attempts == 0 && l.now.Sub(l.began) > troubleStart {
		l.sent[r.class]++
		if refused {
			l.refused[r.class]++
		}
	}
	if refused || r.attempts == loadAttempts {
		return
	}
	s := l.rng.IntN(loadServers)
	for tried := 0; l.now.Before(l.servers[s].downUntil); tried++ {
		if tried == loadServers {
			return
		}
		s = (s + 1) % loadServers
	}
	r.attempts++
	l.run(r, s)
}

// run has a server run a request. Its answer begins after a while, and ends, or crashes the server, later.
func (l *crashLoad) run(r *loadRequest, n int) {
	s := &l.servers[n]
	start := s.starts
	r.run.Server, r.run.AnsweredSince = ServerProcess(fmt.Sprintf("s%d@%d", n, start)), time.Time{}
	s.running = append(s.running, r)
	runs := func() bool { return s.starts == start && slices.Contains(s.running, r) }
	l.after(firstEventTime, func() {
		if !runs() {
			return
		}
		r.run.AnsweredSince = l.now
		l.trackers[r.instance].ServerSeen(l.now, r.run.Server)
		l.after(r.left, func() {
			if runs() {
				s.running = slices.DeleteFunc(s.running, func(o *loadRequest) bool { return o == r })
				l.trackers[r.instance].RecordEnd(l.now, r.run, true)
			}
		})
	})
	if !r.bad {
		return
	}
	l.after(firstEventTime+l.crashDelay, func() {
		if s.starts == start {
			l.crashes = append(l.crashes, l.now)
			l.crash(s)
		}
	})
}

func (l *crashLoad) crash(s *loadServer) {
	s.starts++
	s.downUntil = l.now.Add(restartTime)
	broken := s.running
	s.running = nil
	for _, r := range broken {
		l.trackers[r.instance].RecordCrash(l.now, r.run)
		if !r.run.AnsweredSince.IsZero() {
			r.left -= l.now.Sub(r.run.AnsweredSince)
		}
		l.after(0, func() { l.send(r) })
	}
}

// loseServers has one server after the other be lost.
func (l *crashLoad) loseServers(n int) {
	if l.now.Sub(l.began) > lossEnd {
		return
	}
	if s := &l.servers[n%loadServers]; !l.now.Before(s.downUntil) {
		l.crash(s)
	}
	l.after(l.lossInterval, func() { l.loseServers(n + 1) })
}

// settle has the instances look for silent servers, as their exchanges with the leader do.
func (l *crashLoad) settle() {
	l.after(settleInterval, l.settle)
	for _, t := range l.trackers {
		t.Settle(l.now)
	}
}

func (l *crashLoad) play(length time.Duration) {
	l.arrive()
	l.settle()
	if l.lossInterval > 0 {
		l.after(troubleStart, func() { l.loseServers(0) })
	}
	for l.now.Sub(l.began) < length {
		e := l.timeline[0]
		l.timeline = l.timeline[1:]
		l.now = e.at
		e.act()
	}
}

// lateCrashes returns the number of crashes under the part after it has to be refused.
func (l *crashLoad) lateCrashes() int {
	late := 0
	for _, at := range l.crashes[min(5, len(l.crashes)):] {
		if at.Sub(l.crashes[4]) > refusalTime {
			late++
		}
	}
	return late
}

// Guards against a part that crashes one server after the other, and against the refusal of sound requests that
// share its other parts or run on servers that are lost for other reasons.
func TestOnlyPartsThatCrashServersAreRefusedUnderLoad(t *testing.T) {
	for _, bad := range []float64{0, 0.05, 0.15} {
		for _, delay := range []time.Duration{0, 100 * time.Millisecond, 600 * time.Millisecond} {
			for _, loss := range []time.Duration{0, 300 * time.Millisecond, 500 * time.Millisecond, time.Second} {
				if bad == 0 && delay > 0 {
					continue
				}
				t.Run(fmt.Sprintf("%g bad, crash after %s, a loss each %s", bad, delay, loss), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					late, worst, sent, refused := 0, 0, 0, 0
					for seed := range uint64(20) {
						l := newCrashLoad(seed)
						l.badShare, l.crashDelay, l.lossInterval = bad, delay, loss
						l.play(30 * time.Second)
						late, worst = late+l.lateCrashes(), max(worst, l.lateCrashes())
						for class := range loadClasses {
							is.True(2*l.refused[class] <= l.sent[class])
							sent, refused = sent+l.sent[class], refused+l.refused[class]
						}
					}
					t.Logf("late crashes: %d in 20 plays, %d in one at most; %.4f of the sound requests refused", late, worst, float64(refused)/float64(sent))
					is.True(worst <= maxLateCrashes)
				})
			}
		}
	}
}
