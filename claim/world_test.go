package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenastair"
	"galenastair/peer/claimpb"
)

var errLost = errors.New("lost")

// world is a few keepers, joined by a network that loses, repeats and delays,
// whose members fold epochs each at their own time. It follows the rules of
// package member: a duty is served once every earlier owner has folded the epoch
// that moved it, or is gone.
type world struct {
	mu     sync.Mutex
	rand   *rand.Rand
	ticks  int64
	faults bool
	views  []map[int]bool
	nodes  []*node
	late   []func()
	// restarted is the incarnation of the first node.
	restarted int64
	// loseTell makes the next Tell go astray.
	loseTell bool
	// answered, if set, is called once when a home has answered and before the sender knows.
	answered func()
}

type node struct {
	world  *world
	index  int
	peer   galenastair.Peer
	keeper *Keeper
	dead   bool
	// foldedAt holds when each epoch from joined on was folded; earlier ones count as folded on joining.
	joined   int
	foldedAt []time.Time
}

func newWorld(seed uint64, n int) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, seed))}
	first := make(map[int]bool)
	for i := range n {
		first[i] = true
	}
	w.views = append(w.views, first)
	for range n {
		w.add()
	}
	return w
}

// Now is a logical clock: every reading is later than the one before.
func (w *world) Now() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now()
}

func (w *world) now() time.Time {
	w.ticks++
	return time.Unix(1000, w.ticks)
}

// add makes a member of the newest view, which it has folded.
func (w *world) add() {
	i := len(w.nodes)
	n := &node{world: w, index: i, joined: len(w.views) - 1}
	n.peer = galenastair.Peer{
		ID:               galenastair.InstanceID(fmt.Sprint("entry-", i)),
		AvailabilityZone: galenastair.AvailabilityZone(fmt.Sprint("zone-", i%3)),
	}
	n.foldedAt = []time.Time{w.now()}
	n.keeper = New(n, WithClock(w), WithConnect(func(p galenastair.Peer) claimpb.Claim { return link{w, p} }))
	w.nodes = append(w.nodes, n)
}

// move appends a view without one member and with a new one.
func (w *world) move(without int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := map[int]bool{len(w.nodes): true}
	for i := range w.views[len(w.views)-1] {
		next[i] = i != without
	}
	for i, in := range next {
		if !in {
			delete(next, i)
		}
	}
	w.views = append(w.views, next)
	w.add()
}

func (n *node) folded() int { return n.joined + len(n.foldedAt) - 1 }

// fold takes in one more epoch if there is one.
func (n *node) fold() {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if n.dead || n.folded() == len(n.world.views)-1 {
		return
	}
	n.foldedAt = append(n.foldedAt, n.world.now())
}

func (w *world) owner(epoch int, key string) int {
	best, owner := uint64(0), -1
	for i := range w.views[epoch] {
		if s := xxhash.Sum64String(fmt.Sprint(key, "/", i)); owner < 0 || s > best {
			best, owner = s, i
		}
	}
	return owner
}

func (n *node) Self() galenastair.Peer { return n.peer }

func (n *node) IncarnationOf(id galenastair.InstanceID) int64 {
	if id == "entry-0" {
		return n.world.restarted
	}
	return 0
}

func (n *node) Epoch() galenastair.Epoch {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return galenastair.Epoch(n.folded() + 1)
}

func (n *node) Members() []galenastair.Peer {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	var list []galenastair.Peer
	for i := range n.world.views[n.folded()] {
		list = append(list, n.world.nodes[i].peer)
	}
	return list
}

func (n *node) Home(key string) (galenastair.Peer, bool) {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return n.world.nodes[n.world.owner(n.folded(), key)].peer, true
}

func (n *node) Holds(time.Time) bool {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return !n.dead
}

func (n *node) Serves(key string, at time.Time) bool {
	w := n.world
	w.mu.Lock()
	defer w.mu.Unlock()
	now := n.folded()
	if n.dead || w.owner(now, key) != n.index {
		return false
	}
	since := n.foldedAt[len(n.foldedAt)-1]
	for e := range now {
		before := w.owner(e, key)
		if before == n.index || w.owner(e+1, key) == before {
			continue
		}
		released, ok := n.released(before, e+1)
		if !ok {
			return false
		}
		if released.After(since) {
			since = released
		}
	}
	return !at.Before(since)
}

// released returns when an owner had folded the epoch that moved its duty, or when this node folded its end.
func (n *node) released(owner, moved int) (time.Time, bool) {
	w := n.world
	for e := moved; e <= n.folded(); e++ {
		if !w.views[e][owner] {
			return n.foldedAt[max(e-n.joined, 0)], true
		}
	}
	o := w.nodes[owner]
	if o.folded() < moved {
		return time.Time{}, false
	}
	return o.foldedAt[max(moved-o.joined, 0)], true
}

// link calls one keeper through the network.
type link struct {
	world *world
	to    galenastair.Peer
}

func (l link) target() (claimpb.Claim, bool) {
	l.world.mu.Lock()
	defer l.world.mu.Unlock()
	for _, n := range l.world.nodes {
		if n.peer == l.to {
			return n.keeper.Server(), !n.dead
		}
	}
	return nil, false
}

func (w *world) roll() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.faults {
		return -1
	}
	return w.rand.IntN(30)
}

// pass gives one call to the network.
func pass[Q, R any](ctx context.Context, l link, call func(claimpb.Claim, context.Context, *Q) (*R, error), q *Q) (*R, error) {
	once := func() (*R, error) {
		server, ok := l.target()
		if !ok {
			return nil, errLost
		}
		return call(server, context.WithoutCancel(ctx), q)
	}
	l.world.stir()
	defer l.world.stir()
	switch l.world.roll() {
	case 0:
		return nil, errLost
	case 1:
		_, _ = once()
		return nil, errLost
	case 2:
		l.world.mu.Lock()
		l.world.late = append(l.world.late, func() { _, _ = once() })
		l.world.mu.Unlock()
	case 3:
		l.world.mu.Lock()
		l.world.late = append(l.world.late, func() { _, _ = once() })
		l.world.mu.Unlock()
		return nil, errLost
	}
	return once()
}

func (l link) Begin(ctx context.Context, r *claimpb.BeginRequest) (*claimpb.BeginReply, error) {
	reply, err := pass(ctx, l, claimpb.Claim.Begin, r)
	if f := l.world.answered; f != nil {
		l.world.answered = nil
		f()
	}
	return reply, err
}

func (l link) Tell(ctx context.Context, r *claimpb.TellRequest) (*claimpb.TellReply, error) {
	if l.world.loseTell {
		l.world.loseTell = false
		return nil, errLost
	}
	return pass(ctx, l, claimpb.Claim.Tell, r)
}

func (l link) Sync(ctx context.Context, r *claimpb.SyncRequest) (*claimpb.SyncReply, error) {
	return pass(ctx, l, claimpb.Claim.Sync, r)
}

// stir lets members fold what they lag behind, in the middle of what others do.
func (w *world) stir() {
	nodes := w.alive()
	for range w.pick(3) {
		nodes[w.pick(len(nodes))].fold()
	}
	if w.pick(4) == 0 {
		go w.deliverLate()
	}
}

// deliverLate runs one delayed message.
func (w *world) deliverLate() {
	w.mu.Lock()
	if len(w.late) == 0 {
		w.mu.Unlock()
		return
	}
	i := w.rand.IntN(len(w.late))
	m := w.late[i]
	w.late = append(w.late[:i:i], w.late[i+1:]...)
	w.mu.Unlock()
	m()
}

func (w *world) alive() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*node
	for _, n := range w.nodes {
		if !n.dead {
			list = append(list, n)
		}
	}
	return list
}

func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(n)
}
