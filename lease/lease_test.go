package lease

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/boottime"
)

const minOrderInterval = 3 * time.Second

// fakeStore simulates the store: the lease belongs to the last member that took it, until that
// member has not renewed for the TTL. It may also move without a reason.
type fakeStore struct {
	holder    int
	renewedAt map[int]boottime.Time
}

func (g *fakeStore) renew(now boottime.Time, member int) bool {
	g.renewedAt[member] = now
	last, ok := g.renewedAt[g.holder]
	if !ok || now.Sub(last) >= ttl {
		delete(g.renewedAt, g.holder)
		g.holder = member
	}
	return g.holder == member
}

type order struct {
	at     boottime.Time
	member int
	fence  galenastair.Fence
}

// member is one instance, with the answer to its renewal that is in flight.
type member struct {
	lease       *Lease
	nextRenewal boottime.Time
	sentAt      boottime.Time
	answerAt    boottime.Time
	accepted    bool
	inFlight    bool
	pausedUntil boottime.Time
}

// Renewals are late or lost, members pause for seconds and continue as if nothing had happened,
// and the store moves the lease without a request. Two members must never send orders within the
// minimum interval between leaders, and a fencing token must never decrease.
func TestMinimumIntervalBetweenLeaders(t *testing.T) {
	ordered := 0
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		g := &fakeStore{renewedAt: map[int]boottime.Time{}}
		members := make([]*member, 2+rng.IntN(3))
		for i := range members {
			members[i] = &member{lease: New(DefaultTiming(minOrderInterval, false))}
		}
		var fences galenastair.Fence
		var orders []order
		now := boottime.Time(time.Hour)
		for range 3000 {
			now = now.Add(20 * time.Millisecond)
			if rng.IntN(600) == 0 {
				g.holder = rng.IntN(len(members))
				g.renewedAt[g.holder] = now
			}
			for i, m := range members {
				if rng.IntN(2500) == 0 {
					m.pausedUntil = now.Add(time.Duration(1+rng.IntN(6)) * time.Second)
				}
				if now < m.pausedUntil {
					continue
				}
				// after a pause, an order may be planned before the renewal's answer is handled
				if f, ok := m.lease.OrderFence(now); ok {
					orders = append(orders, order{now, i, f})
				}
				m.step(rng, g, now, i, &fences)
			}
		}
		ordered += len(orders)
		check(t, seed, orders)
	}
	if ordered < 4000 {
		t.Fatalf("only %d orders: too few for the test to mean anything", ordered)
	}
}

// step handles an answer that has arrived, or sends the next renewal.
func (m *member) step(rng *rand.Rand, g *fakeStore, now boottime.Time, i int, fences *galenastair.Fence) {
	if m.inFlight && now >= m.answerAt {
		m.inFlight = false
		if m.lease.HandleRenewal(m.sentAt, now, m.accepted) {
			*fences++
			m.lease.SetFence(m.lease.Term(), *fences, PredecessorUnknown)
		}
	}
	if m.inFlight || now < m.nextRenewal {
		return
	}
	m.nextRenewal = now.Add(renewPeriod)
	m.accepted = g.renew(now, i)
	m.sentAt, m.inFlight = now, true
	m.answerAt = now.Add(time.Duration(rng.IntN(1200)) * time.Millisecond)
	if rng.IntN(15) == 0 {
		m.inFlight = false
	}
}

func check(t *testing.T, seed uint64, orders []order) {
	last := map[int]boottime.Time{}
	var fence galenastair.Fence
	for _, o := range orders {
		if o.fence < fence {
			t.Fatalf("seed %d: member %d ordered with fence %d after %d", seed, o.member, o.fence, fence)
		}
		fence = o.fence
		for other, at := range last {
			if other != o.member && o.at.Sub(at) < minOrderInterval {
				t.Fatalf("seed %d: member %d ordered %s after member %d", seed, o.member, o.at.Sub(at), other)
			}
		}
		last[o.member] = o.at
	}
}

// startTime is when the tests start.
const startTime = boottime.Time(time.Hour)

func heldLease() *Lease {
	t := New(DefaultTiming(minOrderInterval, true))
	t.HandleRenewal(startTime, startTime, true)
	t.SetFence(t.Term(), 5, NoPredecessor)
	return t
}

// A machine is suspended while it holds the lease, and takes it again with its first renewal after
// that. Another instance may have sent orders with a higher fencing token meanwhile, so the term
// has ended.
func TestSuspendedLeaderStartsNewTerm(t *testing.T) {
	is := is.New(t)
	now := startTime
	h := heldLease()
	_, ok := h.OrderFence(now)
	is.True(ok)
	later := now.Add(10 * time.Second)
	_, ok = h.OrderFence(later)
	is.True(!ok)
	is.True(h.HandleRenewal(later, later, true))
	_, ok = h.OrderFence(later)
	is.True(!ok)
}

// The answer to a renewal comes late. The lease counts from before the renewal was sent, as the
// store may have given the lease to another instance right after answering.
func TestLeaseCountsFromBeforeTheCall(t *testing.T) {
	is := is.New(t)
	now := startTime
	h := heldLease()
	sent := now.Add(time.Second)
	h.HandleRenewal(sent, sent.Add(leaseDuration), true)
	is.True(!h.Holds(sent.Add(leaseDuration)))
}

// An engine has seen a higher fencing token: the term is over, whatever the renewals return.
func TestRejectedFenceEndsTheTerm(t *testing.T) {
	is := is.New(t)
	now := startTime
	h := heldLease()
	h.FenceRejected(4)
	is.True(h.Holds(now))
	h.FenceRejected(5)
	_, ok := h.OrderFence(now)
	is.True(!ok)
}

// A stopping leader sends no more orders, but keeps the lease and lends until it has left.
func TestStoppingLeaderKeepsLease(t *testing.T) {
	is := is.New(t)
	now := startTime
	h := heldLease()
	h.StopOrders()
	_, ok := h.OrderFence(now)
	is.True(!ok)
	is.True(h.Holds(now))
}

// A fencing token for a term that has ended meanwhile must not be used for the next one.
func TestFenceOfAnEarlierTermIsIgnored(t *testing.T) {
	is := is.New(t)
	now := boottime.Time(time.Hour)
	h := New(DefaultTiming(minOrderInterval, true))
	h.HandleRenewal(now, now, true)
	term := h.Term()
	h.HandleRenewal(now, now, false)
	h.HandleRenewal(now, now, true)
	h.SetFence(term, 7, NoPredecessor)
	_, ok := h.OrderFence(now.Add(time.Millisecond))
	is.True(!ok)
}

// The delays keep the platform's minimum interval. TakeoverDelayLapsed is shorter by the time that
// a leader whose lease lapsed has had no contact to the store.
func TestDelaysKeepMinimumInterval(t *testing.T) {
	is := is.New(t)
	b := DefaultTiming(minOrderInterval, true)
	is.True(b.TakeoverDelay >= minOrderInterval+renewPeriod)
	is.True(b.TakeoverDelayLapsed+ttl-renewPeriod >= minOrderInterval)
	strict := DefaultTiming(minOrderInterval, false)
	is.True(strict.TakeoverDelay >= minOrderInterval+leaseDuration)
	is.True(slices.Max([]time.Duration{b.TakeoverDelayLapsed, b.TakeoverDelay, strict.TakeoverDelayLapsed}) <= strict.TakeoverDelay)
}
