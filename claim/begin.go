package claim

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/peer/claimpb"
)

// errUnreachable says that an instance did not answer, or not as it should.
var errUnreachable = eris.New("the instance did not answer")

// copyTries is how many instances are asked to keep a copy before a claim is
// refused: one may have died a moment ago.
const copyTries = 2

// Claim is the right to send one request once.
type Claim struct {
	keeper *Keeper
	key    Key
	id     AttemptID
	once   sync.Once
}

// Finish tells the outcome of the request; NotRun frees the key for another try.
func (c *Claim) Finish(o galenastair.Outcome) {
	c.once.Do(func() { c.keeper.finish(c.key, c.id, o) })
}

// Begin claims a key for one request before it is sent, or returns a *galenastair.Refusal.
//
// The order of steps is what makes it safe. The attempt stands in this
// instance's table before it looks up the key's home: a new home asks all members
// of its epoch, and this one answers only once it has folded that epoch. So
// either the answer holds the attempt, or the attempt is made at the new home.
func (k *Keeper) Begin(ctx context.Context, o galenastair.Organisation, key galenastair.IdempotencyKey, d Digest, id galenastair.RequestID) (*Claim, error) {
	self := k.duties.Self()
	a := Attempt{
		Key:         KeyOf(o, key),
		ID:          AttemptID{self.ID, id},
		Incarnation: k.incarnationOf(self.ID),
		Digest:      d,
		State:       Open,
		Began:       k.clock.Now(),
	}
	err := k.begin(ctx, a)
	k.metrics.begun(err)
	if err != nil {
		return nil, err
	}
	return &Claim{keeper: k, key: a.Key, id: a.ID}, nil
}

func (k *Keeper) begin(ctx context.Context, a Attempt) error {
	if !k.duties.Holds(k.clock.Now()) {
		return galenastair.Refuse(galenastair.ErrNotMember, unavailableWait, "")
	}
	if err := k.open(a); err != nil {
		return err
	}
	err := k.secure(ctx, a)
	if err == nil && !k.duties.Holds(k.clock.Now()) {
		// a pause longer than the lease: the home may have moved to one that did not ask this instance
		err = galenastair.Refuse(galenastair.ErrNotMember, unavailableWait, "")
	}
	if err != nil {
		k.finish(a.Key, a.ID, galenastair.NotRun)
	}
	return err
}

func (k *Keeper) open(a Attempt) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Open(k.clock.Now(), a, k.present)
}

// secure gets the home's consent and sees to it that two availability zones keep the attempt.
func (k *Keeper) secure(ctx context.Context, a Attempt) error {
	home, ok := k.duties.Home(string(a.Key))
	if !ok {
		return unavailable("the key has no home now")
	}
	if err := k.ask(ctx, home, a); err != nil {
		return err
	}
	if k.apart(home) {
		return nil
	}
	return k.copyElsewhere(ctx, a)
}

// apart says whether a copy at another instance is enough: it is in another zone
// than this one, or the whole domain is one zone.
func (k *Keeper) apart(p galenastair.Peer) bool {
	self := k.duties.Self()
	return p.ID != self.ID && (p.AvailabilityZone != self.AvailabilityZone || k.oneZone())
}

func (k *Keeper) oneZone() bool {
	zone := k.duties.Self().AvailabilityZone
	return !slices.ContainsFunc(k.duties.Members(), func(p galenastair.Peer) bool { return p.AvailabilityZone != zone })
}

func unavailable(detail string) error {
	return galenastair.Refuse(galenastair.ErrClaimUnavailable, unavailableWait, detail)
}

func (k *Keeper) ask(ctx context.Context, home galenastair.Peer, a Attempt) error {
	if home.ID == k.duties.Self().ID {
		return k.grant(ctx, a)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.metrics.messages.Inc()
	reply, err := k.connect(home).Begin(ctx, &claimpb.BeginRequest{Attempt: fromAttempt(a, a.Began)})
	if err != nil {
		return unavailable("the key's home did not answer")
	}
	return fromReply(reply)
}

// copyElsewhere keeps a copy apart from this instance.
func (k *Keeper) copyElsewhere(ctx context.Context, a Attempt) error {
	candidates := k.candidates(a.Key)
	for _, p := range candidates[:min(copyTries, len(candidates))] {
		if err := k.copyTo(ctx, p, []Attempt{a}); err == nil {
			return nil
		}
	}
	return unavailable("no second instance keeps the claim")
}

// copyTo gives attempts to another instance and notes first that it may have
// them, so that their outcomes reach it, and then that it has.
func (k *Keeper) copyTo(ctx context.Context, p galenastair.Peer, list []Attempt) error {
	process := Process{p.ID, k.incarnationOf(p.ID)}
	k.note(list, func(a *Attempt) { a.Copies = []galenastair.InstanceID{p.ID} })
	kept, err := k.hand(ctx, p, list)
	if err != nil {
		return err
	}
	if slices.Contains(kept, notKept) {
		return errUnreachable
	}
	k.note(list, func(a *Attempt) { a.Kept = []Process{process} })
	return nil
}

func (k *Keeper) note(list []Attempt, change func(*Attempt)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range list {
		change(&a)
		k.table.Merge(k.clock.Now(), a)
	}
}

// candidates ranks the instances that may keep a copy of what is kept here.
func (k *Keeper) candidates(key Key) []galenastair.Peer {
	others := slices.DeleteFunc(slices.Clone(k.duties.Members()), func(p galenastair.Peer) bool { return !k.apart(p) })
	score := func(p galenastair.Peer) uint64 { return xxhash.Sum64String(string(key) + "/" + string(p.ID)) }
	slices.SortFunc(others, func(p, q galenastair.Peer) int { return cmp.Compare(score(q), score(p)) })
	return others
}

func asRefusal(err error) *galenastair.Refusal {
	var r *galenastair.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &galenastair.Refusal{
		Cause:      galenastair.ErrClaimUnavailable,
		Outcome:    galenastair.NotRun,
		RetryAfter: unavailableWait,
		Detail:     err.Error(),
	}
}
