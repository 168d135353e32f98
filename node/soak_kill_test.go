package node

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"galenastair/standin/metastore"
	"galenastair/standin/replica"
)

// killSoak kills processes, and has the store be away or return from a copy, while callers break streams of
// two software versions off and resume them.
type killSoak struct {
	*streamSoak
	processes []*nodeProcess
	older     *metastore.Copy
	kills     int
}

func newKillSoak(t *testing.T, seed uint64) *killSoak {
	c := newCluster(t, 0, "e3@v2", "e4@v2")
	for _, r := range c.replicas {
		r.UpdateFaults(func(f *replica.Faults) { f.EventInterval = 50 * time.Millisecond })
	}
	s := &killSoak{streamSoak: &streamSoak{soak: newSoakOf(c, rand.New(rand.NewPCG(seed, 4)))}, processes: c.startProcesses(4)}
	for i, p := range s.processes {
		s.running = append(s.running, soakNode{p.runningNode, i})
	}
	c.waitForStreams(s.processes[0].runningNode)
	s.older = c.store.Copy()
	return s
}

// injectFault kills all or some processes, stops the store or restores it, or does two of these at once.
func (s *killSoak) injectFault() {
	switch s.rng.IntN(6) {
	case 0, 1:
		s.kill(len(s.processes))
	case 2:
		s.kill(1 + s.rng.IntN(2))
	case 3:
		s.stopStore(time.Duration(500+s.rng.IntN(2500)) * time.Millisecond)
	case 4:
		s.restore()
	case 5:
		away := time.Duration(500+s.rng.IntN(4500)) * time.Millisecond
		var store sync.WaitGroup
		store.Go(func() { s.stopStore(away) })
		s.kill(len(s.processes))
		store.Wait()
	}
	if s.rng.IntN(2) == 0 {
		time.Sleep(inTouchAfter + time.Duration(s.rng.IntN(2000))*time.Millisecond)
	}
}

// kill kills a number of processes at the same moment and starts them again.
func (s *killSoak) kill(count int) {
	killed := append([]*nodeProcess{}, s.processes...)
	s.rng.Shuffle(len(killed), func(i, j int) { killed[i], killed[j] = killed[j], killed[i] })
	killed = killed[:count]
	began := time.Now()
	killAll(killed)
	time.Sleep(time.Duration(s.rng.IntN(1000)) * time.Millisecond)
	for _, p := range killed {
		p.start()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kills++
	s.outages = append(s.outages, [2]time.Time{began, time.Now()})
}

// restore has the store return from a copy. The operator and the servers write again what they had written.
func (s *killSoak) restore() {
	began := time.Now()
	s.store.UpdateFaults(func(f *metastore.Faults) { f.Refuse = true })
	time.Sleep(time.Duration(s.rng.IntN(500)) * time.Millisecond)
	s.store.Restore(s.older)
	s.publish(key)
	s.store.UpdateFaults(func(f *metastore.Faults) { f.Refuse = false })
	s.older = s.store.Copy()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages = append(s.outages, [2]time.Time{began, time.Now()})
}

// Guards against streams of two software versions, or that can't be resumed, while all processes or some
// are killed and the store is away or returns from a copy.
func TestStreamsOfKilledProcessesKeepTheirVersionWhileNodesAndStoreFail(t *testing.T) {
	for seed := range uint64(soakSeeds()) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newKillSoak(t, seed)
			s.runWith(s.callers, s.injectFault)
			s.check()
			t.Logf("%d kills", s.kills)
		})
	}
}
