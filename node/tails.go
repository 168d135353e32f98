package node

import (
	"context"
	"time"

	"galenastair"
	"galenastair/account"
	"galenastair/boottime"
	"galenastair/follow"
	"galenastair/lease"
	"galenastair/planner"
	"galenastair/registry"
)

// followed is one topic that this instance reads, and what it tells others of it.
type followed struct {
	topic    galenastair.Topic
	follower *follow.Follower
	// tail is passed on as it was read; nil where changes are told instead.
	tail *follow.Tail
	// since returns what changed from a position on, and apply takes that in.
	since func(galenastair.Offset) ([]registry.Change, galenastair.Offset, bool)
	apply func([]registry.Change, galenastair.Offset)
}

// peerServer answers the instances' reports: the planner's news, with what this instance
// has read of the store beyond what they have.
type peerServer struct {
	*planner.Planner
	topics   func() []followed
	elector  *lease.Elector
	accounts *account.Accounts
	// sources direct the instances of a large fleet; nil where the platform's bounds leave no
	// time for it.
	sources *sources
}

// Charge answers for an organisation that this instance may own.
func (t peerServer) Charge(o galenastair.Organisation, cost float64, known lease.Record) (account.Verdict, lease.Record) {
	t.elector.Learn(known)
	return t.accounts.Charge(boottime.Now(), o, cost), t.elector.Known()
}

// Exchange takes in a report.
func (t peerServer) Exchange(ctx context.Context, r planner.Report) (planner.News, error) {
	news, err := t.Planner.Exchange(ctx, r)
	if err != nil {
		return news, err
	}
	news.Renewal = t.elector.Renewal()
	for _, f := range t.topics() {
		from, asked := r.Positions[f.topic]
		age, known := f.follower.Age()
		if asked && known {
			news.Tails = append(news.Tails, t.direct(r, news.Standing.Fleet, f.tailFrom(from, age)))
		}
	}
	return news, nil
}

// direct adds where the records are to be had that are not told.
func (t peerServer) direct(r planner.Report, fleet int, tail planner.Tail) planner.Tail {
	if t.sources == nil || fleet <= directed || tail.Changed || r.Address == "" {
		return tail
	}
	d := t.sources.direct(boottime.Now(), r.Zone, r.Address, tail.Next, tail.End)
	tail.Peer, tail.Wait = d.Peer, d.Wait
	return tail
}

// directed is the largest fleet whose instances all read the store.
const directed = 24

// Fetch returns what this instance has read of a topic from an offset on.
func (t peerServer) Fetch(topic galenastair.Topic, from galenastair.Offset) galenastair.KeyedBatch {
	for _, f := range t.topics() {
		if f.topic == topic && f.tail != nil {
			return f.tail.All(from)
		}
	}
	return galenastair.KeyedBatch{Next: from}
}

// tailFrom returns what follows a position; the age is from before it is looked up.
func (f followed) tailFrom(from galenastair.Offset, age time.Duration) planner.Tail {
	tail := planner.Tail{Topic: f.topic, Age: age}
	if fromAge, ok := f.follower.AgeAt(from); ok {
		tail.FromAge = fromAge
	}
	if f.tail != nil {
		tail.KeyedBatch = f.tail.Since(from)
		return tail
	}
	changes, end, ok := f.since(from)
	tail.KeyedBatch = galenastair.KeyedBatch{Next: from, End: end}
	tail.Changes, tail.Changed = changes, ok
	return tail
}

// positions returns how far this instance has read.
func positions(topics []followed) map[galenastair.Topic]galenastair.Offset {
	out := make(map[galenastair.Topic]galenastair.Offset, len(topics))
	for _, f := range topics {
		if from, ok := f.follower.Position(); ok {
			out[f.topic] = from
		}
	}
	return out
}

// fetcher gets records from another instance.
type fetcher func(peer string, t galenastair.Topic, from galenastair.Offset) (galenastair.KeyedBatch, error)

// hint hands what the leader has read to the followers; sent is from before the call that
// brought it.
func hint(topics []followed, tails []planner.Tail, sent boottime.Time, fetch fetcher) {
	for _, t := range tails {
		for _, f := range topics {
			if f.topic != t.Topic {
				continue
			}
			h := follow.Hint{KeyedBatch: t.KeyedBatch, AsOf: sent.Add(-t.Age), Wait: t.Wait}
			if t.FromAge > 0 {
				h.FromAsOf = sent.Add(-t.FromAge)
			}
			if t.Peer != "" {
				h.Fetch = func(from galenastair.Offset) (galenastair.KeyedBatch, error) { return fetch(t.Peer, t.Topic, from) }
			}
			if t.Changed {
				h.Changes = func() { f.apply(t.Changes, t.End) }
			}
			f.follower.Tell(h)
		}
	}
}

// noting adds what is applied to a tail.
func noting(t *follow.Tail, apply follow.Apply) follow.Apply {
	return func(b galenastair.KeyedBatch, whole bool) {
		apply(b, whole)
		t.Add(b, whole)
	}
}
