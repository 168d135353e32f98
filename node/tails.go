package node

import (
	"context"
	"time"

	"galenastair"
	"galenastair/boottime"
	"galenastair/follow"
	"galenastair/lease"
	"galenastair/planner"
)

// followed is one topic that this instance reads, and the end of it for others.
type followed struct {
	topic    galenastair.Topic
	follower *follow.Follower
	tail     *follow.Tail
	// urgent returns the offset of the last record that all must know at once; nil if all
	// records are.
	urgent func() galenastair.Offset
}

// teller answers the instances' reports: the planner's news, with what this instance
// has read of the store beyond what they have.
type teller struct {
	*planner.Planner
	topics func() []followed
	// renewal returns the newest renewal of this instance's lease.
	renewal func() lease.Renewal
}

// tellMost is the largest fleet that is told all that the store holds; a larger one is told
// of records that may wait only that they are there. Registrations change some ten times a
// second at 90 engines, 700 bytes each: told to 77 instances they took 5 Mbit/s of the link
// of the one that plans, which may have 10, its answers came too late, and the served share
// of a calm day fell from 0.92 to 0.67.
const tellMost = 24

// Hear takes in a report.
func (t teller) Hear(ctx context.Context, r planner.Report) (planner.News, error) {
	news, err := t.Planner.Hear(ctx, r)
	if err != nil {
		return news, err
	}
	news.Renewal = t.renewal()
	// a fleet that has not been counted yet may be large
	large := news.Standing.Fleet == 0 || news.Standing.Fleet > tellMost
	for _, f := range t.topics() {
		from, asked := r.Positions[f.topic]
		age, known := f.follower.Age()
		if !asked || !known {
			continue
		}
		if f.urgent != nil && large {
			news.Tails = append(news.Tails, f.lazy(from, age))
			continue
		}
		news.Tails = append(news.Tails, planner.Tail{Topic: f.topic, KeyedBatch: f.tail.Since(from), Age: age})
	}
	return news, nil
}

// lazy tells of records without passing them on.
func (f followed) lazy(from galenastair.Offset, age time.Duration) planner.Tail {
	end := f.tail.Since(from).End
	return planner.Tail{
		Topic:      f.topic,
		KeyedBatch: galenastair.KeyedBatch{Next: from, End: end},
		Age:        age,
		Lazy:       true,
		Urgent:     f.urgent(),
	}
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

// tell hands what the planner has read to the followers; sent is from before the call
// that brought it.
func tell(topics []followed, tails []planner.Tail, sent boottime.Time) {
	for _, t := range tails {
		for _, f := range topics {
			if f.topic == t.Topic {
				f.follower.Tell(follow.Hint{KeyedBatch: t.KeyedBatch, AsOf: sent.Add(-t.Age), Lazy: t.Lazy, Urgent: t.Urgent})
			}
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
