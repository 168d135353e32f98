package claim

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"galenastair"
	"galenastair/peer/claimpb"
)

const (
	// tellLimit bounds the calls that are open at a time.
	tellLimit = 16
	// tellBatch bounds one message to about 50 KB.
	tellBatch = 256
)

// told is an outcome that some instances are still to be told.
type told struct {
	attempt Attempt
	since   time.Time
	// home is set until an instance that serves the key has the outcome.
	home   bool
	copies []galenastair.InstanceID
}

// keeping says what an instance did with an attempt that it was told.
type keeping int

const (
	notKept keeping = iota
	keptAsCopy
	keptAsHome
)

func (k *Keeper) finish(key Key, id AttemptID, o galenastair.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	a, ok := k.table.Settle(now, key, id, o)
	if !ok {
		return
	}
	k.pending[id] = &told{attempt: a, since: now, home: true, copies: a.Copies}
}

// tell passes on outcomes until the key's home and every copy have them: a free
// key whose copy still says Open would be blocked at the next home.
func (k *Keeper) tell(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(tellLimit)
	for p, list := range k.untold() {
		g.Go(func() error {
			k.tellOne(ctx, p, list)
			return nil
		})
	}
	// what did not arrive stays pending
	_ = g.Wait()
}

// untold groups pending outcomes by the instance that is to hear them.
func (k *Keeper) untold() map[galenastair.Peer][]Attempt {
	k.mu.Lock()
	defer k.mu.Unlock()
	self, now := k.duties.Self().ID, k.clock.Now()
	batches := make(map[galenastair.Peer][]Attempt)
	for id, t := range k.pending {
		t.copies = slices.DeleteFunc(slices.Clone(t.copies), func(c galenastair.InstanceID) bool {
			_, ok := k.member(c)
			return !ok
		})
		home, ok := k.duties.Home(string(t.attempt.Key))
		if ok && home.ID == self && k.duties.Serves(string(t.attempt.Key), now) {
			t.home = false
		}
		if !t.home && len(t.copies) == 0 || !now.Before(t.since.Add(Lifetime)) {
			delete(k.pending, id)
			continue
		}
		targets := t.copies
		if t.home && ok && home.ID != self && !slices.Contains(targets, home.ID) {
			targets = append(slices.Clip(targets), home.ID)
		}
		for _, target := range targets {
			if p, ok := k.member(target); ok && len(batches[p]) < tellBatch {
				batches[p] = append(batches[p], t.attempt)
			}
		}
	}
	return batches
}

func (k *Keeper) tellOne(ctx context.Context, p galenastair.Peer, list []Attempt) {
	kept, err := k.hand(ctx, p, list)
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, a := range list {
		t := k.pending[a.ID]
		if t == nil || kept[i] == notKept {
			continue
		}
		if kept[i] == keptAsHome {
			t.home = false
		}
		t.copies = slices.DeleteFunc(slices.Clone(t.copies), func(c galenastair.InstanceID) bool { return c == p.ID })
		if !t.home && len(t.copies) == 0 {
			delete(k.pending, a.ID)
		}
	}
}

// hand gives attempts to another instance to keep.
func (k *Keeper) hand(ctx context.Context, p galenastair.Peer, list []Attempt) ([]keeping, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.metrics.messages.Inc()
	reply, err := k.connect(p).Tell(ctx, &claimpb.TellRequest{Attempts: fromAttempts(list, k.clock.Now())})
	if err != nil {
		return nil, err
	}
	if len(reply.Keeping) != len(list) {
		return nil, errUnreachable
	}
	kept := make([]keeping, len(list))
	for i, w := range reply.Keeping {
		kept[i] = keeping(w)
	}
	return kept, nil
}

// take keeps what another instance tells.
func (k *Keeper) take(list []Attempt) []keeping {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	out := make([]keeping, len(list))
	for i, kept := range k.table.Merge(now, list...) {
		switch {
		case !kept:
			out[i] = notKept
		case k.duties.Serves(string(list[i].Key), now):
			out[i] = keptAsHome
		default:
			out[i] = keptAsCopy
		}
	}
	return out
}

// restore brings the keys that this instance is home of back to two availability
// zones after an epoch in which one that kept a copy was lost.
func (k *Keeper) restore(ctx context.Context) {
	epoch := k.duties.Epoch()
	if k.restored() == epoch || !k.duties.Holds(k.clock.Now()) {
		return
	}
	if err := k.learn(ctx); err != nil {
		return
	}
	for p, list := range k.lonely() {
		for batch := range slices.Chunk(list, tellBatch) {
			if err := k.copyTo(ctx, p, batch); err != nil {
				return
			}
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.whole = epoch
}

func (k *Keeper) restored() galenastair.Epoch {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.whole
}

// learn asks the members what they keep, unless that is under way.
func (k *Keeper) learn(ctx context.Context) error {
	select {
	case k.syncing <- struct{}{}:
		defer func() { <-k.syncing }()
		return k.sync(ctx)
	default:
		return errEpochMoved
	}
}

// lonely groups the attempts that are kept nowhere else by the instance that is to.
func (k *Keeper) lonely() map[galenastair.Peer][]Attempt {
	self := k.duties.Self().ID
	batches := make(map[galenastair.Peer][]Attempt)
	for _, a := range k.homedAt(self) {
		if a.free() || k.keptElsewhere(a) {
			continue
		}
		if candidates := k.candidates(a.Key); len(candidates) > 0 {
			batches[candidates[0]] = append(batches[candidates[0]], a)
		}
	}
	return batches
}

func (k *Keeper) keptElsewhere(a Attempt) bool {
	holders := append(slices.Clip(a.Kept), Process{a.ID.Sender, a.Incarnation})
	return slices.ContainsFunc(holders, func(h Process) bool {
		p, ok := k.member(h.ID)
		return ok && k.incarnationOf(h.ID) == h.Incarnation && k.apart(p)
	})
}
