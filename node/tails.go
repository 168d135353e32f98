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

// topicState is the state of a topic that this instance follows, with the data for other instances.
type topicState struct {
	topic    galenastair.Topic
	follower *follow.Follower
	// tail holds the records that are sent to others; nil if changes are sent instead.
	tail *follow.Tail
	// changesSince returns the changes since an offset, and applyChanges applies them.
	changesSince func(galenastair.Offset) ([]registry.Change, galenastair.Offset, bool)
	applyChanges func([]registry.Change, galenastair.Offset)
}

// peerServer answers the reports of other instances. It adds to the planner's update what this
// instance has read of the store beyond the reported offsets.
type peerServer struct {
	*planner.Planner
	topics    func() []topicState
	directory *instanceDirectory
	versions  *softwareVersions
	elector   *lease.Elector
	accounts  *account.Accounts
	*streamOrigins
	*permits
	// scheduler assigns sources to the instances of a large fleet; nil if the platform's
	// ApplyTimeout is too short for that.
	scheduler *fetchScheduler
}

// Charge charges a request to an organisation that this instance may own.
func (s peerServer) Charge(o galenastair.Organisation, cost float64, known lease.Record) (account.ChargeResult, lease.Record) {
	s.elector.Observe(known)
	return s.accounts.Charge(boottime.Now(), o, cost), s.elector.LatestRecord()
}

// Exchange answers the report of an instance.
func (s peerServer) Exchange(ctx context.Context, r planner.Report) (planner.Update, error) {
	update, err := s.Planner.Exchange(ctx, r)
	if err != nil {
		return update, err
	}
	s.directory.exchange(r, &update)
	s.versions.exchange(r, &update)
	update.Renewal = s.elector.Renewal()
	for _, f := range s.topics() {
		from, reported := r.Positions[f.topic]
		age, known := f.follower.Age()
		if reported && known {
			update.Tails = append(update.Tails, s.assignSource(r, update.QuotaAllocation.FleetSize, f.tailFrom(from, age)))
		}
	}
	return update, nil
}

// assignSource sets the source of the records that the tail does not contain.
func (s peerServer) assignSource(r planner.Report, fleetSize int, tail planner.Tail) planner.Tail {
	if s.scheduler == nil || fleetSize <= maxDirectReaders || tail.Changed || r.Address == "" {
		return tail
	}
	source := s.scheduler.assign(boottime.Now(), r.Zone, r.Address, tail.Next, tail.End)
	tail.Peer, tail.Wait = source.Peer, source.Wait
	return tail
}

// maxDirectReaders is the largest fleet in which every instance reads the store itself.
const maxDirectReaders = 24

// Fetch returns the records that this instance has of a topic from an offset on.
func (s peerServer) Fetch(topic galenastair.Topic, from galenastair.Offset) galenastair.KeyedBatch {
	for _, f := range s.topics() {
		if f.topic == topic && f.tail != nil {
			return f.tail.AllSince(from)
		}
	}
	return galenastair.KeyedBatch{Next: from}
}

// tailFrom returns the part of the topic after an offset. The caller reads age before the call, so
// that it is not shorter than the age of the returned records.
func (f topicState) tailFrom(from galenastair.Offset, age time.Duration) planner.Tail {
	tail := planner.Tail{Topic: f.topic, Age: age}
	if fromAge, ok := f.follower.AgeAt(from); ok {
		tail.FromAge = fromAge
	}
	if f.tail != nil {
		tail.KeyedBatch = f.tail.Since(from)
		return tail
	}
	changes, end, ok := f.changesSince(from)
	tail.KeyedBatch = galenastair.KeyedBatch{Next: from, End: end}
	tail.Changes, tail.Changed = changes, ok
	return tail
}

// readOffsets returns the offset that this instance has reached in each topic.
func readOffsets(topics []topicState) map[galenastair.Topic]galenastair.Offset {
	out := make(map[galenastair.Topic]galenastair.Offset, len(topics))
	for _, f := range topics {
		if from, ok := f.follower.Position(); ok {
			out[f.topic] = from
		}
	}
	return out
}

// fetchFunc fetches records from another instance.
type fetchFunc func(peer string, t galenastair.Topic, from galenastair.Offset) (galenastair.KeyedBatch, error)

// forwardTails passes the tails sent by the leader to the followers as hints. sent is the time
// before the call that returned them.
func forwardTails(topics []topicState, tails []planner.Tail, sent boottime.Time, fetch fetchFunc) {
	for _, t := range tails {
		for _, f := range topics {
			if f.topic != t.Topic {
				continue
			}
			h := follow.Hint{KeyedBatch: t.KeyedBatch, ConfirmedAt: sent.Add(-t.Age), Wait: t.Wait}
			if t.FromAge > 0 {
				h.StartConfirmedAt = sent.Add(-t.FromAge)
			}
			if t.Peer != "" {
				h.Fetch = func(from galenastair.Offset) (galenastair.KeyedBatch, error) { return fetch(t.Peer, t.Topic, from) }
			}
			if t.Changed {
				h.ApplyChanges = func() { f.applyChanges(t.Changes, t.End) }
			}
			f.follower.Notify(h)
		}
	}
}

// recordingTail returns an apply function that also adds the batches to a tail.
func recordingTail(t *follow.Tail, apply follow.ApplyFunc) follow.ApplyFunc {
	return func(b galenastair.KeyedBatch, snapshot bool) {
		apply(b, snapshot)
		t.Add(b, snapshot)
	}
}
