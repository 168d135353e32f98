package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenastair"
)

// News is what members tell each other beside promises; it only ever adds knowledge.
type News struct {
	From Incarnation
	// Folded is the epoch that the sender has folded: its word.
	Folded galenastair.Epoch
	// All is an epoch that every member which joined by then has folded, or is gone.
	All galenastair.Epoch
	// Words holds what the sender knows beyond All.
	Words         []Word
	Configuration galenastair.Offset
	// LogAge is how long ago the sender or someone it heard of reached the log; negative if never.
	LogAge  time.Duration
	Refused []RefusedDigest
}

// Word says that a member has folded an epoch.
type Word struct {
	Incarnation Incarnation
	Folded      galenastair.Epoch
}

// RefusedDigest is a digest that no instance should run for a while.
type RefusedDigest struct {
	Digest string
	For    time.Duration
}

const (
	// maxRefused bounds the digests kept: at 64 bytes each, 16 KB on an instance.
	maxRefused = 256
	// maxToldRefused bounds the digests in one message, to about 1 KB.
	maxToldRefused = 16
	// partners is how many members outside the ring order are told news each
	// period: an epidemic with two partners reaches 53 members in about 4 rounds,
	// where the ring alone needs 26.
	partners = 2
)

type refusal struct {
	until time.Time
	heard time.Time
}

type gossip struct {
	configuration galenastair.Offset
	logContact    time.Time
	refused       map[string]refusal
	// fresh is when this member last learnt something that others may not know.
	fresh  time.Time
	toldAt time.Time
}

func newGossip() gossip { return gossip{refused: make(map[string]refusal)} }

func (g *gossip) touch(now time.Time) { g.fresh = later(g.fresh, now) }

func (g *gossip) expire(now time.Time) {
	maps.DeleteFunc(g.refused, func(_ string, r refusal) bool { return !now.Before(r.until) })
}

func (g *gossip) fleet(time.Time) Fleet {
	f := Fleet{Configuration: g.configuration, LogContact: g.logContact}
	if len(g.refused) > 0 {
		f.Refused = make(map[string]time.Time, len(g.refused))
	}
	for digest, r := range g.refused {
		f.Refused[digest] = r.until
	}
	return f
}

// refuse keeps a digest; when full, new ones are dropped rather than old ones,
// so that a flood of digests cannot clear the list.
func (g *gossip) refuse(digest string, until, now time.Time) {
	old, known := g.refused[digest]
	if !known && len(g.refused) >= maxRefused {
		return
	}
	if known && !until.After(old.until.Add(time.Second)) {
		return
	}
	g.refused[digest] = refusal{until: until, heard: now}
	g.touch(now)
}

// Announce makes all members refuse a digest for a while.
func (n *Node) Announce(now time.Time, digest string, period time.Duration) {
	n.gossip.refuse(digest, now.Add(period), now)
}

// Configured notes the configuration offset of this instance.
func (n *Node) Configured(now time.Time, offset galenastair.Offset) {
	if offset > n.gossip.configuration {
		n.gossip.configuration = offset
		n.gossip.touch(now)
	}
}

// News returns what this member knows; all refused digests go to one that asks for all.
func (n *Node) News(now time.Time, all bool) News {
	news := News{
		From: n.self.Incarnation, Folded: n.state.Epoch, All: n.foldedByAll(),
		Configuration: n.gossip.configuration, LogAge: n.logAge(now),
	}
	for _, m := range n.state.Ring {
		if w := n.settling.wordOf(m.Incarnation); m.Incarnation != n.self.Incarnation && w > news.All {
			news.Words = append(news.Words, Word{m.Incarnation, w})
		}
	}
	news.Refused = n.toldRefused(now, all)
	return news
}

func (n *Node) foldedByAll() galenastair.Epoch {
	least := n.state.Epoch
	for _, m := range n.state.Ring {
		if m.Incarnation != n.self.Incarnation {
			least = min(least, max(n.settling.wordOf(m.Incarnation), galenastair.Epoch(m.Incarnation)-1))
		}
	}
	return least
}

func (n *Node) logAge(now time.Time) time.Duration {
	last := later(n.contact, n.gossip.logContact)
	if last.IsZero() {
		return -1
	}
	return max(now.Sub(last), 0)
}

func (n *Node) toldRefused(now time.Time, all bool) []RefusedDigest {
	var told []RefusedDigest
	for digest, r := range n.gossip.refused {
		if all || now.Sub(r.heard) < n.timing.Spread {
			told = append(told, RefusedDigest{digest, r.until.Sub(now)})
		}
	}
	slices.SortFunc(told, func(a, b RefusedDigest) int {
		return cmp.Or(cmp.Compare(b.For, a.For), cmp.Compare(a.Digest, b.Digest))
	})
	if all {
		return told
	}
	return told[:min(len(told), maxToldRefused)]
}

// MergeNews takes the news of another member.
func (n *Node) MergeNews(now time.Time, news News) {
	learnt := news.From != 0 && n.settling.noteFolded(news.From, news.Folded, now)
	for _, m := range n.state.Ring {
		if galenastair.Epoch(m.Incarnation) <= news.All {
			learnt = n.settling.noteFolded(m.Incarnation, news.All, now) || learnt
		}
	}
	for _, w := range news.Words {
		learnt = n.settling.noteFolded(w.Incarnation, w.Folded, now) || learnt
	}
	if learnt {
		n.gossip.touch(now)
	}
	n.mergeFleet(now, news)
}

func (n *Node) mergeFleet(now time.Time, news News) {
	n.Configured(now, news.Configuration)
	if news.LogAge >= 0 {
		n.gossip.logContact = later(n.gossip.logContact, now.Add(-news.LogAge))
	}
	for _, r := range news.Refused {
		n.gossip.refuse(r.Digest, now.Add(r.For), now)
	}
}

// tickGossip tells fresh news to a few members beside the watcher, and looks
// beyond the neighbours while this member does not reach the log.
func (n *Node) tickGossip(now time.Time) {
	if now.Sub(n.gossip.toldAt) < n.timing.Heartbeat {
		return
	}
	n.gossip.toldAt = now
	others := len(n.state.Ring) - 1
	if others < 2 || (now.Sub(n.gossip.fresh) >= n.timing.Spread && n.logFresh(now)) {
		return
	}
	for range partners {
		m := n.state.Ring[n.random.IntN(len(n.state.Ring))]
		if m.Incarnation != n.self.Incarnation {
			n.out = append(n.out, SendNews{To: m})
		}
	}
}
