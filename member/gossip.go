package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenastair"
)

// Gossip is the state that members exchange in addition to leases. Merging it never removes knowledge.
type Gossip struct {
	From Incarnation
	// Applied is the epoch that the sender has applied.
	Applied galenastair.Epoch
	// AppliedByAll is an epoch that every member that had joined by then has applied, unless it
	// has left the ring.
	AppliedByAll galenastair.Epoch
	// Acks holds the acks known to the sender that are newer than AppliedByAll.
	Acks          []Ack
	Configuration galenastair.Offset
	// LogAge is how long ago the sender, or a member it has heard of, reached the log; negative if never.
	LogAge  time.Duration
	Refused []RefusedDigest
}

// Ack states that a member has applied an epoch.
type Ack struct {
	Incarnation Incarnation
	Epoch       galenastair.Epoch
}

// RefusedDigest is the digest of a request that no instance should run for a while.
type RefusedDigest struct {
	Digest    string
	Remaining time.Duration
}

const (
	// maxRefusedDigests bounds the digests kept: at 64 bytes each, they take 16 KB.
	maxRefusedDigests = 256
	// maxRefusedPerMessage bounds the digests in one message, to about 1 KB.
	maxRefusedPerMessage = 16
	// gossipFanout is the number of random members that receive gossip in each heartbeat interval.
	// With two it reaches 53 members in about 4 rounds; along the ring alone that takes 26.
	gossipFanout = 2
)

type refusal struct {
	until    time.Time
	learntAt time.Time
}

type gossipState struct {
	configuration galenastair.Offset
	logContact    time.Time
	refused       map[string]refusal
	// changedAt is when this member last learnt something that others may not know yet.
	changedAt time.Time
	sentAt    time.Time
}

func newGossip() gossipState { return gossipState{refused: make(map[string]refusal)} }

func (g *gossipState) markChanged(now time.Time) { g.changedAt = later(g.changedAt, now) }

func (g *gossipState) expire(now time.Time) {
	maps.DeleteFunc(g.refused, func(_ string, r refusal) bool { return !now.Before(r.until) })
}

func (g *gossipState) fleet(time.Time) Fleet {
	f := Fleet{Configuration: g.configuration, LogContact: g.logContact}
	if len(g.refused) > 0 {
		f.Refused = make(map[string]time.Time, len(g.refused))
	}
	for digest, r := range g.refused {
		f.Refused[digest] = r.until
	}
	return f
}

// refuse adds a digest. When the list is full, new digests are dropped rather than old ones, so
// that a flood of digests cannot displace the list.
func (g *gossipState) refuse(digest string, until, now time.Time) {
	old, known := g.refused[digest]
	if !known && len(g.refused) >= maxRefusedDigests {
		return
	}
	if known && !until.After(old.until.Add(time.Second)) {
		return
	}
	g.refused[digest] = refusal{until: until, learntAt: now}
	g.markChanged(now)
}

// RefuseDigest makes all members refuse a digest for a while.
func (n *Node) RefuseDigest(now time.Time, digest string, period time.Duration) {
	n.gossip.refuse(digest, now.Add(period), now)
}

// ObserveConfiguration records the configuration offset of an instance, if it is the highest so far.
func (n *Node) ObserveConfiguration(now time.Time, offset galenastair.Offset) {
	if offset > n.gossip.configuration {
		n.gossip.configuration = offset
		n.gossip.markChanged(now)
	}
}

// Gossip returns what this member knows. With all set it includes every refused digest.
func (n *Node) Gossip(now time.Time, all bool) Gossip {
	msg := Gossip{
		From: n.self.Incarnation, Applied: n.state.Epoch, AppliedByAll: n.appliedByAll(),
		Configuration: n.gossip.configuration, LogAge: n.logAge(now),
	}
	for _, m := range n.state.Ring {
		if w := n.history.ackedEpoch(m.Incarnation); m.Incarnation != n.self.Incarnation && w > msg.AppliedByAll {
			msg.Acks = append(msg.Acks, Ack{m.Incarnation, w})
		}
	}
	msg.Refused = n.refusedToSend(now, all)
	return msg
}

func (n *Node) appliedByAll() galenastair.Epoch {
	least := n.state.Epoch
	for _, m := range n.state.Ring {
		if m.Incarnation != n.self.Incarnation {
			least = min(least, max(n.history.ackedEpoch(m.Incarnation), galenastair.Epoch(m.Incarnation)-1))
		}
	}
	return least
}

func (n *Node) logAge(now time.Time) time.Duration {
	last := later(n.logContact, n.gossip.logContact)
	if last.IsZero() {
		return -1
	}
	return max(now.Sub(last), 0)
}

func (n *Node) refusedToSend(now time.Time, all bool) []RefusedDigest {
	var digests []RefusedDigest
	for digest, r := range n.gossip.refused {
		if all || now.Sub(r.learntAt) < n.timing.GossipDuration {
			digests = append(digests, RefusedDigest{digest, r.until.Sub(now)})
		}
	}
	slices.SortFunc(digests, func(a, b RefusedDigest) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Digest, b.Digest))
	})
	if all {
		return digests
	}
	return digests[:min(len(digests), maxRefusedPerMessage)]
}

// MergeGossip merges gossip received from another member.
func (n *Node) MergeGossip(now time.Time, msg Gossip) {
	changed := msg.From != 0 && n.history.recordAck(msg.From, msg.Applied, now)
	for _, m := range n.state.Ring {
		if galenastair.Epoch(m.Incarnation) <= msg.AppliedByAll {
			changed = n.history.recordAck(m.Incarnation, msg.AppliedByAll, now) || changed
		}
	}
	for _, w := range msg.Acks {
		changed = n.history.recordAck(w.Incarnation, w.Epoch, now) || changed
	}
	if changed {
		n.gossip.markChanged(now)
	}
	n.mergeFleet(now, msg)
}

func (n *Node) mergeFleet(now time.Time, msg Gossip) {
	n.ObserveConfiguration(now, msg.Configuration)
	if msg.LogAge >= 0 {
		n.gossip.logContact = later(n.gossip.logContact, now.Add(-msg.LogAge))
	}
	for _, r := range msg.Refused {
		n.gossip.refuse(r.Digest, now.Add(r.Remaining), now)
	}
}

// tickGossip gossips recent changes to random members in addition to the watcher. It also does so
// while this member does not reach the log, to learn whether others do.
func (n *Node) tickGossip(now time.Time) {
	if now.Sub(n.gossip.sentAt) < n.timing.HeartbeatInterval {
		return
	}
	n.gossip.sentAt = now
	others := len(n.state.Ring) - 1
	if others < 2 || (now.Sub(n.gossip.changedAt) >= n.timing.GossipDuration && n.logContactRecent(now)) {
		return
	}
	for range gossipFanout {
		m := n.state.Ring[n.random.IntN(len(n.state.Ring))]
		if m.Incarnation != n.self.Incarnation {
			n.actions = append(n.actions, SendGossip{To: m})
		}
	}
}
