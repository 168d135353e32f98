package rate

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/peer/ratepb"
)

// faultyNetwork applies one of five faults to one message in ten each: it drops the
// request, drops the response, repeats the request, or advances the clock before or
// after the call.
type faultyNetwork struct {
	mu    sync.Mutex
	rand  *rand.Rand
	clock *fakeClock
}

func (n *faultyNetwork) drawFault() (int, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.IntN(10), time.Duration(n.rand.IntN(1500)) * time.Millisecond
}

func (n *faultyNetwork) exchange(_ galenastair.Peer, call func() (*ratepb.ExchangeReply, error)) (*ratepb.ExchangeReply, error) {
	fault, pause := n.drawFault()
	switch fault {
	case 0:
		return nil, errLost
	case 1:
		_, _ = call()
		return nil, errLost
	case 2:
		_, _ = call()
	case 3:
		n.clock.advance(pause)
	case 4:
		reply, err := call()
		n.clock.advance(pause)
		return reply, err
	}
	return call()
}

// Eight callers use one organisation's contract through six entries while messages are
// lost, repeated and delayed, a share is reassigned and the clock advances during
// calls. The merged grant history of all entries must stay within the contract.
//
// The test fails if Bucket.Lend does not count lent tokens against the holder's
// capacity. It does not detect a loan deadline that is counted too late;
// TestShareIsNeverExceeded does.
func TestMergedHistoryUnderFaults(t *testing.T) {
	is := is.New(t)
	c := Contract{Rate: 3000, Burst: 3000}
	f := newFleet(6, c)
	net := &faultyNetwork{rand: rand.New(rand.NewPCG(4, 4)), clock: f.clock}
	f.exchange = net.exchange
	f.advance(4 * time.Second)
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() { callAndSettle(f, i%6, rand.New(rand.NewPCG(4, uint64(i)))) })
	}
	callers.Wait()
	is.NoErr(CheckHistory(f.history, c))
	is.True(len(f.history) > 500)
}

// callAndSettle sends bursts of requests, with pauses in which buckets refill.
func callAndSettle(f *fleet, entry int, r *rand.Rand) {
	var open []*Receipt
	for range 600 {
		n := galenastair.Tokens(1 + r.IntN(300))
		if receipt, err := charge(f, entry, n); err == nil {
			open = append(open, receipt)
		}
		if len(open) > 5 {
			open[0].Settle(open[0].Tokens() * galenastair.Tokens(r.IntN(3)) / 2)
			open = open[1:]
		}
		switch r.IntN(200) {
		case 0:
			f.advance(time.Second)
		case 1:
			f.reassignFirstShare(r.IntN(len(f.peers)))
		default:
			f.clock.advance(time.Millisecond)
		}
		if r.IntN(40) == 0 {
			f.advance(maintenanceInterval)
		}
	}
}

// reassignFirstShare assigns slot 0 to another entry.
func (f *fleet) reassignFirstShare(to int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.assignments {
		f.assignments[i].epoch++
		f.assignments[i].owners[0] = f.peers[to]
	}
}
