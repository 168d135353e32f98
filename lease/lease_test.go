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

const between = 3 * time.Second

// group plays the store's side of the duty: it belongs to the member that last got it
// until that has been silent for its ttl, and may move without any reason.
type storeGroup struct {
	holder int
	heard  map[int]boottime.Time
}

func (g *storeGroup) join(now boottime.Time, member int) bool {
	g.heard[member] = now
	last, ok := g.heard[g.holder]
	if !ok || now.Sub(last) >= ttl {
		delete(g.heard, g.holder)
		g.holder = member
	}
	return g.holder == member
}

type order struct {
	at     boottime.Time
	member int
	fence  galenastair.Fence
}

// member is one instance: its turn, and the answer to a join that is on its way.
type member struct {
	lease    *Lease
	next     boottime.Time
	sent     boottime.Time
	answer   boottime.Time
	mine     bool
	waiting  bool
	stillsTo boottime.Time
}

// Joins are late or lost, members stand still for seconds and go on as if nothing had
// been, and the store moves the duty without a request. Two members must never give
// orders within the least time between holders, and a fence must never fall.
func TestHoldersNeverTakeTurnsTooFast(t *testing.T) {
	ordered := 0
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		g := &storeGroup{heard: map[int]boottime.Time{}}
		members := make([]*member, 2+rng.IntN(3))
		for i := range members {
			members[i] = &member{lease: New(DefaultBounds(between, false))}
		}
		var fences galenastair.Fence
		var orders []order
		now := boottime.Time(time.Hour)
		for range 3000 {
			now = now.Add(20 * time.Millisecond)
			if rng.IntN(600) == 0 {
				g.holder = rng.IntN(len(members))
				g.heard[g.holder] = now
			}
			for i, m := range members {
				if rng.IntN(2500) == 0 {
					m.stillsTo = now.Add(time.Duration(1+rng.IntN(6)) * time.Second)
				}
				if now < m.stillsTo {
					continue
				}
				// an order may be planned before a standstill's answer is looked at
				if f, ok := m.lease.Order(now); ok {
					orders = append(orders, order{now, i, f})
				}
				m.step(rng, g, now, i, &fences)
			}
		}
		ordered += len(orders)
		check(t, seed, orders)
	}
	if ordered < 4000 {
		t.Fatalf("only %d orders: the test has lost its sense", ordered)
	}
}

// step takes in an answer that has come, or sends the next join.
func (m *member) step(rng *rand.Rand, g *storeGroup, now boottime.Time, i int, fences *galenastair.Fence) {
	if m.waiting && now >= m.answer {
		m.waiting = false
		if m.lease.Renewed(m.sent, now, m.mine) {
			*fences++
			m.lease.SetFence(m.lease.Term(), *fences, Unknown)
		}
	}
	if m.waiting || now < m.next {
		return
	}
	m.next = now.Add(renewPeriod)
	m.mine = g.join(now, i)
	m.sent, m.waiting = now, true
	m.answer = now.Add(time.Duration(rng.IntN(1200)) * time.Millisecond)
	if rng.IntN(15) == 0 {
		m.waiting = false
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
			if other != o.member && o.at.Sub(at) < between {
				t.Fatalf("seed %d: member %d ordered %s after member %d", seed, o.member, o.at.Sub(at), other)
			}
		}
		last[o.member] = o.at
	}
}

// begun is when the turns of the tests begin.
const begun = boottime.Time(time.Hour)

func held() *Lease {
	t := New(DefaultBounds(between, true))
	t.Renewed(begun, begun, true)
	t.SetFence(t.Term(), 5, Nobody)
	return t
}

// A machine is suspended while it holds the duty, and gets it again at its first join
// after. Another may have ordered meanwhile with a higher fence: the term has ended.
func TestSuspendedHolderBeginsAnew(t *testing.T) {
	is := is.New(t)
	now := begun
	h := held()
	_, ok := h.Order(now)
	is.True(ok)
	later := now.Add(10 * time.Second)
	_, ok = h.Order(later)
	is.True(!ok)
	is.True(h.Renewed(later, later, true))
	_, ok = h.Order(later)
	is.True(!ok)
}

// A join's answer comes late: the lease counts from before it was sent, as the store
// may have passed the duty on right after it answered.
func TestLeaseCountsFromBeforeTheCall(t *testing.T) {
	is := is.New(t)
	now := begun
	h := held()
	sent := now.Add(time.Second)
	h.Renewed(sent, sent.Add(lease), true)
	is.True(!h.Holds(sent.Add(lease)))
}

// An engine has seen a higher fence: this instance's term is over, whatever its joins say.
func TestRefusedFenceEndsTheTerm(t *testing.T) {
	is := is.New(t)
	now := begun
	h := held()
	h.Refused(4)
	is.True(h.Holds(now))
	h.Refused(5)
	_, ok := h.Order(now)
	is.True(!ok)
}

// A stopping holder orders no more, and lends until it has left.
func TestRestingHolderLends(t *testing.T) {
	is := is.New(t)
	now := begun
	h := held()
	h.Retire()
	_, ok := h.Order(now)
	is.True(!ok)
	is.True(h.Holds(now))
}

// A fence that was asked for a term that has ended meanwhile is not taken for the next.
func TestFenceOfAnEarlierTerm(t *testing.T) {
	is := is.New(t)
	now := boottime.Time(time.Hour)
	h := New(DefaultBounds(between, true))
	h.Renewed(now, now, true)
	term := h.Term()
	h.Renewed(now, now, false)
	h.Renewed(now, now, true)
	h.SetFence(term, 7, Nobody)
	_, ok := h.Order(now.Add(time.Millisecond))
	is.True(!ok)
}

// The pauses keep the platform's least time: a lapsed holder was out of touch for the
// time that is left out.
func TestBounds(t *testing.T) {
	is := is.New(t)
	b := DefaultBounds(between, true)
	is.True(b.Quiet >= between+renewPeriod)
	is.True(b.QuietLapsed+ttl-renewPeriod >= between)
	strict := DefaultBounds(between, false)
	is.True(strict.Quiet >= between+lease)
	is.True(slices.Max([]time.Duration{b.QuietLapsed, b.Quiet, strict.QuietLapsed}) <= strict.Quiet)
}
