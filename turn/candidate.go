package turn

import (
	"context"
	"math/rand/v2"
	"time"

	"galenastair/timer"
)

const (
	// heardFor is how long a holder counts as there after it was heard; instances exchange
	// with it each 0.6 s at least.
	heardFor = 1000 * time.Millisecond
	// firstWait is the longest that one of a few instances waits before it joins, so that
	// one of those that miss the holder comes first and the others see it; more instances
	// wait longer, so that as few come at once.
	firstWait  = 250 * time.Millisecond
	fewMembers = 8
	// mostWait bounds that: one that waits does not learn of the next holder meanwhile.
	mostWait = 3 * time.Second
	// doubtAfter is how long a holder must not have been heard to be doubted for a call
	// that failed: one call of many may be late.
	doubtAfter = 500 * time.Millisecond
	// slowestLink and linkWait are for an instance whose link carries little: it comes a
	// second behind the others, and so much less as its link carries more.
	slowestLink = 10
	linkWait    = time.Second
)

// WithFleet says how many instances there are.
func WithFleet(fleet func() int) Option { return func(k *Keeper) { k.fleet = fleet } }

// WithLink says what this instance's link carries, in Mbit a second; 0 is not known.
//
// Load: a fleet of large and small instances, with one that hears and tells all. Harm: where
// it is a small one, its link is full of the others' exchanges; requests wait for loans in
// vain, and each instance asks the store for itself.
func WithLink(mbps float64) Option {
	return func(k *Keeper) {
		if mbps > 0 {
			k.behind = time.Duration(min(1, slowestLink/mbps) * float64(linkWait))
		}
	}
}

// needed says whether this instance is to be in the group.
//
// Failure guarded against: the store deals the partitions anew for each member that comes,
// and gives the duty to it though its holder is sound: each instance that was started, or came
// back from a cut, cost all others seconds without orders and a lender. So only one that does
// not hear the holder joins, and leaves when it hears it again.
func (k *Keeper) needed() bool {
	if k.held {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder == "" || k.heard == 0 || k.clock().Sub(k.heard) > heardFor
}

// lapse notes that the store may have given the duty to another since this instance's last
// join was answered: to join again as if nothing had been would take it from that one.
func (k *Keeper) lapse() {
	if !k.held || k.clock().Sub(k.turn.confirmedAt()) <= membership {
		return
	}
	k.held, k.joined = false, false
	k.logger.Log("event", "duty", "holds", false, "cause", "lapsed")
	k.Doubt()
}

// vacant says that nobody else is there to hold the duty. It waits before it asks: of several
// instances that miss the holder at once, the answer shows them the first.
func (k *Keeper) vacant(ctx context.Context) bool {
	longest := min(mostWait, firstWait*time.Duration(max(1, k.fleet()/fewMembers)))
	if !timer.Wait(ctx, k.behind+time.Duration(rand.Int64N(int64(longest)))) {
		return false
	}
	return k.needed() && k.ownerless(ctx)
}

func (k *Keeper) ownerless(ctx context.Context) bool {
	owners, err := k.store.Owners(ctx, group)
	if err != nil {
		k.logger.Log("event", "owners", "err", err)
		return false
	}
	k.asked = k.clock()
	holder, missed := owners[duty], k.Holder()
	if holder != "" && holder != k.member && holder != missed {
		k.turn.Joined(0, 0, false)
		k.setHolder(holder)
		return false
	}
	for m := range membersOf(owners) {
		if m != k.member && m != missed {
			return false // it is in line already
		}
	}
	return true
}

// leaveGroup gives up this instance's place among the members.
func (k *Keeper) leaveGroup(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := k.store.Leave(call, group, k.member); err != nil {
		k.logger.Log("event", "leave", "err", err)
		return
	}
	k.joined = false
}

// Heard says that the holder has answered just now, as one that holds the duty.
func (k *Keeper) Heard() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heard = k.clock()
}

// Denied says that the holder does not hold the duty any more by its own word.
func (k *Keeper) Denied() {
	k.mu.Lock()
	k.heard = 0
	k.mu.Unlock()
	k.Doubt()
}
