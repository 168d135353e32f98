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

// cluster is a simulated cluster of managers. Its network loses, duplicates and delays
// messages, and its members apply each epoch at different times. It follows the rules of
// package member: an owner serves a key once every earlier owner has applied the epoch that
// moved the key, or is no longer a member.
type cluster struct {
	mu                   sync.Mutex
	rand                 *rand.Rand
	ticks                int64
	injectFaults         bool
	epochs               []map[int]bool
	nodes                []*node
	delayedMessages      []func()
	firstNodeIncarnation int64
	// loseNextTell drops the next call of Tell.
	loseNextTell bool
	// afterBegin, if set, is called once, after an owner has replied and before the sender receives the reply.
	afterBegin func()
}

type node struct {
	cluster     *cluster
	index       int
	peer        galenastair.Peer
	manager     *Manager
	stopped     bool
	joinedEpoch int
	// appliedAt holds when each epoch from joinedEpoch on was applied. Earlier epochs count as applied on joining.
	appliedAt []time.Time
}

func newCluster(seed uint64, n int) *cluster {
	c := &cluster{rand: rand.New(rand.NewPCG(seed, seed))}
	first := make(map[int]bool)
	for i := range n {
		first[i] = true
	}
	c.epochs = append(c.epochs, first)
	for range n {
		c.add()
	}
	return c
}

// Now reads a logical clock: each reading is later than the previous one.
func (c *cluster) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now()
}

func (c *cluster) now() time.Time {
	c.ticks++
	return time.Unix(1000, c.ticks)
}

// add adds a member of the last epoch, which has applied that epoch.
func (c *cluster) add() {
	i := len(c.nodes)
	n := &node{cluster: c, index: i, joinedEpoch: len(c.epochs) - 1}
	n.peer = galenastair.Peer{
		ID:               galenastair.InstanceID(fmt.Sprint("entry-", i)),
		AvailabilityZone: galenastair.AvailabilityZone(fmt.Sprint("zone-", i%3)),
	}
	n.appliedAt = []time.Time{c.now()}
	n.manager = New(n, WithClock(c), WithPeerClient(func(p galenastair.Peer) claimpb.Claim { return peerLink{c, p} }))
	c.nodes = append(c.nodes, n)
}

// changeMembers appends an epoch without the given member and with a new one.
func (c *cluster) changeMembers(without int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[int]bool{len(c.nodes): true}
	for i := range c.epochs[len(c.epochs)-1] {
		next[i] = i != without
	}
	for i, in := range next {
		if !in {
			delete(next, i)
		}
	}
	c.epochs = append(c.epochs, next)
	c.add()
}

func (n *node) appliedEpoch() int { return n.joinedEpoch + len(n.appliedAt) - 1 }

// applyNextEpoch applies the next epoch if there is one.
func (n *node) applyNextEpoch() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.stopped || n.appliedEpoch() == len(n.cluster.epochs)-1 {
		return
	}
	n.appliedAt = append(n.appliedAt, n.cluster.now())
}

func (c *cluster) owner(epoch int, key string) int {
	best, owner := uint64(0), -1
	for i := range c.epochs[epoch] {
		if s := xxhash.Sum64String(fmt.Sprint(key, "/", i)); owner < 0 || s > best {
			best, owner = s, i
		}
	}
	return owner
}

func (n *node) Self() galenastair.Peer { return n.peer }

func (n *node) IncarnationOf(id galenastair.InstanceID) int64 {
	if id == "entry-0" {
		return n.cluster.firstNodeIncarnation
	}
	return 0
}

func (n *node) Epoch() galenastair.Epoch {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return galenastair.Epoch(n.appliedEpoch() + 1)
}

func (n *node) Members() []galenastair.Peer {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var list []galenastair.Peer
	for i := range n.cluster.epochs[n.appliedEpoch()] {
		list = append(list, n.cluster.nodes[i].peer)
	}
	return list
}

func (n *node) Owner(key string) (galenastair.Peer, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.nodes[n.cluster.owner(n.appliedEpoch(), key)].peer, true
}

func (n *node) HoldsLease(time.Time) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return !n.stopped
}

func (n *node) Serves(key string, at time.Time) bool {
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	now := n.appliedEpoch()
	if n.stopped || c.owner(now, key) != n.index {
		return false
	}
	since := n.appliedAt[len(n.appliedAt)-1]
	for e := range now {
		before := c.owner(e, key)
		if before == n.index || c.owner(e+1, key) == before {
			continue
		}
		released, ok := n.releasedAt(before, e+1)
		if !ok {
			return false
		}
		if released.After(since) {
			since = released
		}
	}
	return !at.Before(since)
}

// releasedAt returns when an owner applied the epoch that moved its key, or when this node applied
// the epoch in which that owner is no longer a member.
func (n *node) releasedAt(owner, moved int) (time.Time, bool) {
	c := n.cluster
	for e := moved; e <= n.appliedEpoch(); e++ {
		if !c.epochs[e][owner] {
			return n.appliedAt[max(e-n.joinedEpoch, 0)], true
		}
	}
	o := c.nodes[owner]
	if o.appliedEpoch() < moved {
		return time.Time{}, false
	}
	return o.appliedAt[max(moved-o.joinedEpoch, 0)], true
}

// peerLink calls one manager through the simulated network.
type peerLink struct {
	cluster *cluster
	to      galenastair.Peer
}

func (l peerLink) target() (claimpb.Claim, bool) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	for _, n := range l.cluster.nodes {
		if n.peer == l.to {
			return n.manager.Server(), !n.stopped
		}
	}
	return nil, false
}

func (c *cluster) randomFault() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.injectFaults {
		return -1
	}
	return c.rand.IntN(30)
}

// deliver passes one call through the simulated network, which may lose, duplicate or delay it.
func deliver[Q, R any](ctx context.Context, l peerLink, call func(claimpb.Claim, context.Context, *Q) (*R, error), q *Q) (*R, error) {
	once := func() (*R, error) {
		server, ok := l.target()
		if !ok {
			return nil, errLost
		}
		return call(server, context.WithoutCancel(ctx), q)
	}
	l.cluster.applyRandomEpochs()
	defer l.cluster.applyRandomEpochs()
	switch l.cluster.randomFault() {
	case 0:
		return nil, errLost
	case 1:
		_, _ = once()
		return nil, errLost
	case 2:
		l.cluster.mu.Lock()
		l.cluster.delayedMessages = append(l.cluster.delayedMessages, func() { _, _ = once() })
		l.cluster.mu.Unlock()
	case 3:
		l.cluster.mu.Lock()
		l.cluster.delayedMessages = append(l.cluster.delayedMessages, func() { _, _ = once() })
		l.cluster.mu.Unlock()
		return nil, errLost
	}
	return once()
}

func (l peerLink) Begin(ctx context.Context, r *claimpb.BeginRequest) (*claimpb.BeginReply, error) {
	reply, err := deliver(ctx, l, claimpb.Claim.Begin, r)
	if f := l.cluster.afterBegin; f != nil {
		l.cluster.afterBegin = nil
		f()
	}
	return reply, err
}

func (l peerLink) Tell(ctx context.Context, r *claimpb.TellRequest) (*claimpb.TellReply, error) {
	if l.cluster.loseNextTell {
		l.cluster.loseNextTell = false
		return nil, errLost
	}
	return deliver(ctx, l, claimpb.Claim.Tell, r)
}

func (l peerLink) Sync(ctx context.Context, r *claimpb.SyncRequest) (*claimpb.SyncReply, error) {
	return deliver(ctx, l, claimpb.Claim.Sync, r)
}

// applyRandomEpochs lets random members apply an epoch during the calls of others.
func (c *cluster) applyRandomEpochs() {
	nodes := c.runningNodes()
	for range c.randomInt(3) {
		nodes[c.randomInt(len(nodes))].applyNextEpoch()
	}
	if c.randomInt(4) == 0 {
		go c.deliverDelayedMessage()
	}
}

// deliverDelayedMessage delivers one random delayed message.
func (c *cluster) deliverDelayedMessage() {
	c.mu.Lock()
	if len(c.delayedMessages) == 0 {
		c.mu.Unlock()
		return
	}
	i := c.rand.IntN(len(c.delayedMessages))
	m := c.delayedMessages[i]
	c.delayedMessages = append(c.delayedMessages[:i:i], c.delayedMessages[i+1:]...)
	c.mu.Unlock()
	m()
}

func (c *cluster) runningNodes() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*node
	for _, n := range c.nodes {
		if !n.stopped {
			list = append(list, n)
		}
	}
	return list
}

func (c *cluster) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(n)
}
