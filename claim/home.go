package claim

import (
	"context"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"galenastair"
	"galenastair/peer/claimpb"
)

// errEpochMoved says that the members changed while a new home was asking them.
var errEpochMoved = eris.New("the epoch changed meanwhile")

// grant decides as the home of a key whether an attempt may be sent.
//
// Failure: the home moves while claims are under way, and the new home gives a
// key again that its predecessor gave a moment ago; a bid runs twice. The guard:
// it answers only once every member of its epoch has told what it keeps, which
// each does in that epoch alone: the predecessor then gives nothing any more,
// and senders no longer ask it.
func (k *Keeper) grant(ctx context.Context, a Attempt) error {
	if !k.duties.Serves(string(a.Key), k.clock.Now()) {
		return unavailable("not the key's home now")
	}
	if err := k.cover(ctx); err != nil {
		return unavailable("the key's home is taking over")
	}
	if !k.present(&a) {
		// a later home would not ask this sender, and so not learn of its attempt
		return unavailable("the sender is not a member")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if k.synced != k.duties.Epoch() || !k.duties.Serves(string(a.Key), now) {
		return unavailable("the key's home moves")
	}
	if err := k.table.Open(now, a, k.present); err != nil {
		return asRefusal(err)
	}
	return nil
}

// cover asks the members if that is still to be done; one call at a time.
func (k *Keeper) cover(ctx context.Context) error {
	if k.covered() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case k.syncing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-k.syncing }()
	if k.covered() {
		return nil
	}
	return k.sync(ctx)
}

func (k *Keeper) covered() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.synced == k.duties.Epoch()
}

// sync learns what every member of the present epoch keeps for this home.
func (k *Keeper) sync(ctx context.Context) error {
	epoch := k.duties.Epoch()
	self := k.duties.Self()
	members := k.duties.Members()
	if k.duties.Epoch() != epoch {
		return errEpochMoved
	}
	lists := make([][]Attempt, len(members))
	g, ctx := errgroup.WithContext(ctx)
	for i, p := range members {
		if p.ID == self.ID {
			continue
		}
		g.Go(func() error {
			var err error
			lists[i], err = k.askKept(ctx, p, epoch)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return k.adopt(epoch, lists)
}

func (k *Keeper) askKept(ctx context.Context, p galenastair.Peer, epoch galenastair.Epoch) ([]Attempt, error) {
	k.metrics.messages.Inc()
	reply, err := k.connect(p).Sync(ctx, &claimpb.SyncRequest{Home: string(k.duties.Self().ID), Epoch: int64(epoch)})
	if err != nil {
		return nil, eris.Wrap(errUnreachable, err.Error())
	}
	return toAttempts(reply.Attempts, k.clock.Now()), nil
}

func (k *Keeper) adopt(epoch galenastair.Epoch, lists [][]Attempt) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, list := range lists {
		for _, kept := range k.table.Merge(k.clock.Now(), list...) {
			if !kept {
				return eris.New("too many claims")
			}
		}
	}
	k.synced = epoch
	return nil
}

// kept answers a new home. It answers in the same epoch only: in an earlier one,
// this instance could still make an attempt at the former home, and in a later
// one it would leave out keys that have moved on.
func (k *Keeper) kept(home galenastair.InstanceID, epoch galenastair.Epoch) ([]Attempt, error) {
	if k.duties.Epoch() != epoch {
		return nil, errEpochMoved
	}
	list := k.homedAt(home)
	if k.duties.Epoch() != epoch {
		return nil, errEpochMoved
	}
	return list, nil
}

// homedAt returns the attempts kept here whose key has the given home.
func (k *Keeper) homedAt(home galenastair.InstanceID) []Attempt {
	k.mu.Lock()
	all := k.table.List(k.clock.Now())
	k.mu.Unlock()
	return slices.DeleteFunc(all, func(a Attempt) bool { return k.homes.of(k.duties, a.Key) != home })
}

// homes remembers the homes of keys for one epoch: when the epoch changes, every
// member asks for its keys, and ranking the members anew for each key and each
// question would cost seconds of processor time.
type homes struct {
	mu    sync.Mutex
	epoch galenastair.Epoch
	known map[Key]galenastair.InstanceID
}

func (h *homes) of(d Duties, key Key) galenastair.InstanceID {
	h.mu.Lock()
	defer h.mu.Unlock()
	// read before the home: an entry is never older than its epoch says
	if epoch := d.Epoch(); h.known == nil || h.epoch != epoch {
		h.epoch = epoch
		h.known = make(map[Key]galenastair.InstanceID)
	}
	if id, ok := h.known[key]; ok {
		return id
	}
	p, _ := d.Home(string(key))
	h.known[key] = p.ID
	return p.ID
}
