package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"galenastair/standin/replica"
)

// promptSoak has callers send requests with a part that crashes servers, and sound ones.
type promptSoak struct {
	*soak
	traffic promptTraffic
	begun   share
}

func newPromptSoak(t *testing.T, seed uint64) *promptSoak {
	c := newCluster(t, 4, "e3", "e4", "e5", "e6")
	form := rand.New(rand.NewPCG(seed, 8))
	// a crash after the end of a response can only be seen of a process
	after, closeDelimited := form.IntN(6), form.IntN(2) == 0
	t.Logf("servers crash after %d events, close-delimited %t", after, closeDelimited)
	for _, r := range c.replicas {
		r.UpdateFaults(func(f *replica.Faults) {
			f.CrashPart, f.EventInterval = crashPart, 5*time.Millisecond
			f.CrashAfter, f.CloseDelimited = after, closeDelimited
		})
	}
	return &promptSoak{soak: newSoakOf(c, rand.New(rand.NewPCG(seed, 2))), traffic: promptTraffic{c: c, readAll: true}}
}

// callers sends both kinds of requests until the context ends.
func (s *promptSoak) callers(ctx context.Context) *sync.WaitGroup {
	began := time.Now()
	var callers sync.WaitGroup
	for range 2 {
		callers.Go(func() {
			for ctx.Err() == nil {
				s.traffic.send(s.pickNode().runningNode, crashPart)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for range 4 {
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				n, at := s.pickNode(), time.Now()
				served := s.traffic.send(n.runningNode, fmt.Sprintf("c%d", i%3))
				if at.After(began.Add(2 * poisonTimeout)) {
					s.begun.count(n.index, at, served)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return &callers
}

// check reports a part that is sent on after it has crashed enough servers, and sound requests that are
// served too rarely.
func (s *promptSoak) check() {
	crashes := s.crashTimes()
	late, end := 0, refusalDue(s.t, crashes)
	for _, r := range s.replicas {
		for _, run := range r.Runs() {
			if run.StartedAt.After(end) && hasCrashPart(run) && s.inTouch(nodeIndex(run.Source), run.StartedAt) {
				late++
			}
		}
	}
	if late > maxPoisonSends {
		s.t.Errorf("%d requests with the part were sent later than %s after the fifth crash", late, poisonTimeout)
	}
	asked, served := s.begun.of(s.soak)
	if len(s.begun.requests) == 0 || asked >= 20 && served < 0.5 {
		s.t.Errorf("%.2f of %d requests without the part were served", served, asked)
	}
	s.t.Logf("%d crashes, %d late, %.2f of %d sound requests served, %d outages, %d restarts",
		len(crashes), late, served, asked, len(s.outages), len(s.started))
}

// Guards against a part that crashes servers on and on, or is refused beside sound ones, while nodes
// restart or are partitioned and the store fails.
func TestPromptPartsAreRefusedWhileNodesAndStoreFail(t *testing.T) {
	for seed := range uint64(soakSeeds()) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newPromptSoak(t, seed)
			s.runWith(s.callers, s.failNodeOrStore)
			s.check()
		})
	}
}
