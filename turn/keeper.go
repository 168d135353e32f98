package turn

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/boottime"
	"galenastair/timer"
)

// The group, and the topic whose offsets are fences.
const (
	group                         = "galenastair"
	fencesTopic galenastair.Topic = "fences"
)

// duty is the partition whose holder plans and lends. The group has some topics more,
// so that each of up to 32 members holds a partition and is seen among the owners.
var (
	duty   = galenastair.Partition{Topic: "duty"}
	topics = []galenastair.Topic{duty.Topic, "members-1", "members-2", "members-3"}
)

const (
	// joinPeriod lets a join be lost and the next still keep the lease.
	joinPeriod = 450 * time.Millisecond
	// membership is how long the store keeps the duty of a member that is silent: as
	// short as leaves a slow store its time, since nobody plans meanwhile.
	membership = 1600 * time.Millisecond
	// ownerPeriod is how often the holder's name is asked for while it may be wrong.
	ownerPeriod = 400 * time.Millisecond
	// leaveTimeout bounds the last call of an instance that stops.
	leaveTimeout = 500 * time.Millisecond
)

// Keeper keeps this instance's place in the group, and knows who holds the duty.
type Keeper struct {
	store  galenastair.Store
	turn   *Turn
	member string
	clock  boottime.Clock
	logger log.Logger
	note   Note
	fleet  func() int
	// behind is how long this instance leaves the duty to others.
	behind time.Duration
	// started is closed once the note was asked for.
	started chan struct{}

	mu     sync.Mutex
	holder string
	unsure bool
	// heard is when the holder answered last; 0 if it denied the duty.
	heard boottime.Time
	wake  chan struct{}

	// owned by Run; joined says that this instance may be a member of the group
	joined     bool
	generation galenastair.Generation
	asked      boottime.Time
	held       bool
	noting     noting
}

// Option varies a Keeper.
type Option func(*Keeper)

// WithLogger says where changes of the duty are logged.
func WithLogger(l log.Logger) Option { return func(k *Keeper) { k.logger = l } }

// WithClock replaces the machine's clock.
func WithClock(c boottime.Clock) Option { return func(k *Keeper) { k.clock = c } }

// NewKeeper returns a keeper for a member, which is named by its peer address so that
// whoever reads the holder's name can call it.
func NewKeeper(s galenastair.Store, t *Turn, member string, opts ...Option) *Keeper {
	k := &Keeper{store: s, turn: t, member: member, clock: boottime.Now, logger: log.NewNopLogger(), unsure: true, wake: make(chan struct{}, 1),
		note:    Note{Write: func() []byte { return nil }, Written: func([]byte) {}, Read: func([]byte, bool) {}},
		started: make(chan struct{}), fleet: func() int { return 1 }}
	for _, o := range opts {
		o(k)
	}
	return k
}

// Run joins until the context ends, then leaves.
func (k *Keeper) Run(ctx context.Context) error {
	k.readNote(ctx, true)
	close(k.started)
	for ctx.Err() == nil {
		k.round(ctx)
		k.rest(ctx)
	}
	k.leave(context.WithoutCancel(ctx))
	return ctx.Err()
}

// leave gives the duty up in order: no orders any more, and then, while this instance
// still lends, as much of the pause between two holders as passes for a lapse.
func (k *Keeper) leave(ctx context.Context) {
	k.turn.Rest()
	if k.held {
		last, cancel := context.WithTimeout(ctx, membership-joinPeriod)
		for last.Err() == nil {
			k.round(last)
			k.rest(last)
		}
		cancel()
	}
	k.turn.Joined(0, 0, false)
	if k.joined {
		k.leaveGroup(ctx)
	}
}

// rest waits for the next join, and asks for the holder as soon as it is in doubt.
func (k *Keeper) rest(ctx context.Context) {
	next := time.NewTimer(joinPeriod)
	defer next.Stop()
	for {
		select {
		case <-k.wake:
			k.findHolder(ctx)
			if !k.joined && k.needed() {
				return
			}
			timer.Wait(ctx, ownerPeriod/4)
		case <-next.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) round(ctx context.Context) {
	k.lapse()
	if !k.needed() {
		if k.joined {
			k.leaveGroup(ctx)
		}
		k.findHolder(ctx)
		return
	}
	if !k.joined && !k.vacant(ctx) {
		return
	}
	k.joined = true
	sent := k.clock()
	a, err := k.store.Join(ctx, group, k.member, topics, membership, k.generation)
	if err != nil {
		k.logger.Log("event", "join", "err", err)
		return
	}
	if a.Generation != k.generation {
		k.Doubt()
	}
	k.generation = a.Generation
	mine := slices.Contains(a.Partitions, duty)
	if k.turn.Joined(sent, k.clock(), mine) {
		k.fence(ctx)
	}
	if mine != k.held {
		k.held = mine
		k.logger.Log("event", "duty", "holds", mine, "generation", a.Generation)
	}
	if mine {
		k.setHolder(k.member)
		k.leaveNote(ctx)
		return
	}
	k.findHolder(ctx)
}

// fence appends the record whose offset fences the term. If its answer is lost the
// next round appends another; the lost one's offset is never used.
func (k *Keeper) fence(ctx context.Context) {
	term := k.turn.Term()
	before := k.before(ctx)
	k.readNote(ctx, false)
	offset, err := k.store.Append(ctx, fencesTopic, []byte(k.member))
	if err != nil {
		k.logger.Log("event", "fence", "err", err)
		return
	}
	f := galenastair.Fence(offset) + 1
	if offset == 0 {
		before = Nobody
	}
	k.turn.SetFence(term, f, before)
	k.logger.Log("event", "fence", "fence", int64(f), "term", term, "before", int(before), "holder", k.Holder())
}

// before finds out whether the holder before is still a member. It is not among the
// owners once it has lapsed or left, as long as there is a partition for each member.
func (k *Keeper) before(ctx context.Context) Before {
	last := k.Holder()
	if last == "" || last == k.member {
		return Unknown
	}
	owners, err := k.store.Owners(ctx, group)
	if err != nil {
		k.logger.Log("event", "owners", "err", err)
		return Unknown
	}
	members := membersOf(owners)
	if members[last] || !members[k.member] || len(members) >= len(owners) {
		return Unknown
	}
	return Lapsed
}

// membersOf returns those that own a partition; the store lists partitions of nobody too.
func membersOf(owners map[galenastair.Partition]string) map[string]bool {
	members := map[string]bool{}
	for _, m := range owners {
		if m != "" {
			members[m] = true
		}
	}
	return members
}

func (k *Keeper) findHolder(ctx context.Context) {
	k.mu.Lock()
	unsure := k.unsure
	k.mu.Unlock()
	if !unsure || k.asked != 0 && k.clock().Sub(k.asked) < ownerPeriod {
		return
	}
	k.asked = k.clock()
	owners, err := k.store.Owners(ctx, group)
	if err != nil {
		k.logger.Log("event", "owners", "err", err)
		return
	}
	holder := owners[duty]
	// the store names a member that has left or died until its time is over
	if holder != "" && holder != k.member {
		k.setHolder(holder)
	}
}

func (k *Keeper) setHolder(holder string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unsure = false
	if holder == k.holder {
		return
	}
	k.logger.Log("event", "holder", "holder", holder, "before", k.holder)
	k.holder = holder
	// it has the time of an exchange to answer
	k.heard = k.clock()
}

// Holder returns the peer address of the instance that plans and lends; empty if unknown.
func (k *Keeper) Holder() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder
}

// Doubt says that the holder may be another by now, as it did not answer. It does not count
// soon after the holder was heard: asking the store for each call that is late costs more
// calls than all the rest.
func (k *Keeper) Doubt() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.heard != 0 && k.clock().Sub(k.heard) < doubtAfter {
		return
	}
	k.unsure = true
	select {
	case k.wake <- struct{}{}:
	default:
	}
}
