package rate

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"galenastair"
)

// handoverTries is how often a handover is sent: one message in ten may be lost for a
// while, and a repeated one changes nothing.
const handoverTries = 3

// Handover is what the former holder of an account tells its successor.
//
// Failure guarded against: an instance is stopped, the ranking moves shares to others,
// and each new holder starts empty after two delays that a death makes necessary. It
// shows as requests refused within their rate for some three seconds. The former holder
// has dropped the account before it sends this and lends nothing of it afterwards, so
// its successor may go on from where it stopped.
type Handover struct {
	Account Account
	// Epoch is the one that moved the account.
	Epoch galenastair.Epoch
	// Share is what the former holder kept to.
	Share Share
	// Level is what could be taken, and Lent what entries may still spend.
	Level galenastair.Tokens
	Lent  galenastair.Tokens
	// Delay is how long nothing comes in yet, since loans of a holder before are open.
	Delay time.Duration
}

// HandOver drops an account and returns what its successor must know of it.
func (h *Holder) HandOver(now time.Time, a Account) (Handover, bool) {
	acc := h.accounts[a]
	if acc == nil {
		return Handover{}, false
	}
	delete(h.accounts, a)
	acc.expire(now)
	return Handover{
		Account: a,
		Share:   acc.bucket.share,
		Level:   acc.bucket.Available(now),
		Lent:    galenastair.Tokens(acc.bucket.lent / unit),
		Delay:   max(acc.start.Sub(now), 0),
	}, true
}

// TakeOver opens an account where its former holder stopped.
//
// What that one had lent counts as one loan that nobody reports on: it is spent in
// whole once the last of its loans has ended.
func (h *Holder) TakeOver(now time.Time, from Handover, s Share) {
	start := now.Add(from.Delay)
	acc := newAccount(NewBucket(s, start), start)
	acc.bucket.level = int64(from.Level) * unit
	acc.bucket.lent = int64(from.Lent) * unit
	acc.bucket.trim()
	if from.Lent > 0 {
		rest := &given{tokens: from.Lent, until: now.Add(occupiedTerm)}
		acc.loans[rest.id] = rest
		acc.open = append(acc.open, rest)
	}
	h.accounts[from.Account] = acc
}

// handed is a handover that this instance was given.
type handed struct {
	Handover
	// used keeps a repeated message from filling the account again.
	used bool
}

// accept takes what a former holder says; one from an epoch that this instance has not
// reached yet is kept until it has.
func (l *lender) accept(now time.Time, list ...Handover) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.duties()
	for _, h := range list {
		if known, ok := l.handed[h.Account]; ok && known.Epoch >= h.Epoch {
			continue
		}
		l.handed[h.Account] = &handed{Handover: h}
	}
	l.openHanded(now, d)
}

// openHanded opens the accounts whose former holders have handed them over.
func (l *lender) openHanded(now time.Time, d Duties) {
	for a, h := range l.handed {
		if h.Epoch < d.Epoch() {
			delete(l.handed, a)
			continue
		}
		t := l.terms[a]
		// the epoch has to be matched before: what stood in terms may be an older one's
		if h.used || t == nil || h.Epoch != d.Epoch() || l.seen.epoch != d.Epoch() || !d.Holds(a, now) {
			continue
		}
		h.used = true
		if l.holder.Has(a) {
			continue
		}
		t.handed = true
		t.inForce = h.Share.least(t.share(a))
		l.holder.TakeOver(now, h.Handover, t.inForce)
	}
}

// serves says that this instance may lend from an account: all earlier holders are
// known to have ended, or the last of them, for which that held, has handed it over.
func (l *lender) serves(now time.Time, d Duties, a Account) bool {
	if d.Serves(a, now) {
		return true
	}
	t := l.terms[a]
	return t != nil && t.handed && d.Holds(a, now)
}

// release drops an account that has moved, and returns what its new holder is to know.
//
// Only a move by one epoch is handed over: in one that went by unseen the account may
// have been another's.
func (l *lender) release(now time.Time, d Duties, a Account) (Handover, bool) {
	delete(l.terms, a)
	h, ok := l.holder.HandOver(now, a)
	if !ok || d.Epoch() != l.seen.epoch+1 {
		return Handover{}, false
	}
	h.Epoch = d.Epoch()
	return h, true
}

// handOver sends what was released to the new holders. One that hears nothing starts
// empty, as after a death.
func (l *Limiter) handOver(ctx context.Context, released []Handover) {
	d := l.duties()
	byHolder := make(map[galenastair.Peer][]Handover)
	for _, h := range released {
		owner, ok := d.Owner(h.Account)
		if ok && d.Epoch() == h.Epoch && owner.ID != d.Self().ID {
			byHolder[owner] = append(byHolder[owner], h)
		}
	}
	var g errgroup.Group
	g.SetLimit(flushLimit)
	for to, list := range byHolder {
		g.Go(func() error {
			l.handTo(ctx, to, d.Self().ID, list)
			return nil
		})
	}
	// the sends report nothing: each has ended when it returns
	_ = g.Wait()
}

func (l *Limiter) handTo(ctx context.Context, to galenastair.Peer, self galenastair.InstanceID, list []Handover) {
	for range handoverTries {
		if _, err := l.call(ctx, to, self, message{handovers: list}); err == nil {
			return
		}
	}
	l.metrics.handoversLost.Add(float64(len(list)))
}
