package rate

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"galenastair"
)

// handoverAttempts is how many times a handover is sent, since one message in ten may
// be lost for a while. Repeated handovers are idempotent.
const handoverAttempts = 3

// Handover transfers a share's state from its former holder to its successor.
//
// Without it, a planned stop reassigns the instance's shares and each new holder starts
// empty after the two delays that a failed holder makes necessary, so requests within
// the rate are refused for about three seconds. The former holder drops the share
// before it sends the handover and lends nothing from it afterwards, so its successor
// can continue from the state in the handover.
type Handover struct {
	ShareID ShareID
	// Epoch is the epoch that reassigned the share.
	Epoch galenastair.Epoch
	// Limits are the limits that the former holder enforced.
	Limits Limits
	// Level is the number of available tokens, and Lent the number that entries may
	// still spend from loans.
	Level galenastair.Tokens
	Lent  galenastair.Tokens
	// Delay is the time until the bucket refills, while loans of an earlier holder may
	// still be open.
	Delay time.Duration
}

// HandOver drops a share and returns its state for the successor.
func (h *Holder) HandOver(now time.Time, id ShareID) (Handover, bool) {
	share := h.shares[id]
	if share == nil {
		return Handover{}, false
	}
	delete(h.shares, id)
	share.expire(now)
	return Handover{
		ShareID: id,
		Limits:  share.bucket.limits,
		Level:   share.bucket.Available(now),
		Lent:    galenastair.Tokens(share.bucket.lent / unitsPerToken),
		Delay:   max(share.refillStart.Sub(now), 0),
	}, true
}

// OpenFromHandover opens a share with the state that its former holder handed over.
//
// The tokens that the former holder had lent count as one loan that is never reported
// on: it is counted as fully spent once the last of those loans has expired.
func (h *Holder) OpenFromHandover(now time.Time, from Handover, limits Limits) {
	start := now.Add(from.Delay)
	share := newHeldShare(NewBucket(limits, start), start)
	share.bucket.level = int64(from.Level) * unitsPerToken
	share.bucket.lent = int64(from.Lent) * unitsPerToken
	share.bucket.clampLevel()
	if from.Lent > 0 {
		unreported := &issuedLoan{tokens: from.Lent, expiresAt: now.Add(holderLoanTTL)}
		share.loans[unreported.id] = unreported
		share.open = append(share.open, unreported)
	}
	h.shares[from.ShareID] = share
}

// receivedHandover is a handover that was sent to this instance.
type receivedHandover struct {
	Handover
	// applied prevents a repeated handover from refilling the share.
	applied bool
}

// receiveHandovers records handovers from former holders. A handover from an epoch that
// this instance has not reached yet is kept until it has.
func (l *lender) receiveHandovers(now time.Time, list ...Handover) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.assignment()
	for _, h := range list {
		if known, ok := l.handovers[h.ShareID]; ok && known.Epoch >= h.Epoch {
			continue
		}
		l.handovers[h.ShareID] = &receivedHandover{Handover: h}
	}
	l.openHandedOver(now, d)
}

// openHandedOver opens shares for which a handover was received.
func (l *lender) openHandedOver(now time.Time, d Assignment) {
	for id, h := range l.handovers {
		if h.Epoch < d.Epoch() {
			delete(l.handovers, id)
			continue
		}
		s := l.owned[id]
		// the epoch must be reconciled first: entries in owned may belong to an older
		// epoch
		if h.applied || s == nil || h.Epoch != d.Epoch() || l.reconciled.epoch != d.Epoch() || !d.Owns(id, now) {
			continue
		}
		h.applied = true
		if l.holder.IsOpen(id) {
			continue
		}
		s.handedOver = true
		s.effective = h.Limits.lowerOf(s.targetLimits(id))
		l.holder.OpenFromHandover(now, h.Handover, s.effective)
	}
}

// serves reports whether this instance may lend from a share: either all earlier
// holders are known to have ended, or the last of them, to which that applied, has
// handed the share over.
func (l *lender) serves(now time.Time, d Assignment, id ShareID) bool {
	if d.Serves(id, now) {
		return true
	}
	s := l.owned[id]
	return s != nil && s.handedOver && d.Owns(id, now)
}

// release drops a share that was reassigned and returns a handover for its new holder.
//
// It returns a handover only if the epoch advanced by one. In a missed epoch the share
// may have belonged to another instance.
func (l *lender) release(now time.Time, d Assignment, id ShareID) (Handover, bool) {
	delete(l.owned, id)
	h, ok := l.holder.HandOver(now, id)
	if !ok || d.Epoch() != l.reconciled.epoch+1 {
		return Handover{}, false
	}
	h.Epoch = d.Epoch()
	return h, true
}

// sendHandovers sends released shares to their new holders. A new holder that receives
// no handover starts empty, as after a failure.
func (l *Limiter) sendHandovers(ctx context.Context, released []Handover) {
	d := l.assignment()
	byHolder := make(map[galenastair.Peer][]Handover)
	for _, h := range released {
		owner, ok := d.Owner(h.ShareID)
		if ok && d.Epoch() == h.Epoch && owner.ID != d.Self().ID {
			byHolder[owner] = append(byHolder[owner], h)
		}
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for to, list := range byHolder {
		g.Go(func() error {
			l.sendHandoversTo(ctx, to, d.Self().ID, list)
			return nil
		})
	}
	// the functions return no errors; Wait only waits for them to end
	_ = g.Wait()
}

func (l *Limiter) sendHandoversTo(ctx context.Context, to galenastair.Peer, self galenastair.InstanceID, list []Handover) {
	for range handoverAttempts {
		if _, err := l.call(ctx, to, self, exchangeContent{handovers: list}); err == nil {
			return
		}
	}
	l.metrics.handoversLost.Add(float64(len(list)))
}
