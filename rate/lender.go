package rate

import (
	"sync"
	"time"

	"galenastair"
)

// lender implements the holder side of this instance: it opens, updates and drops
// shares as the assignment and the contracts change, and answers loan requests.
type lender struct {
	assignment func() Assignment
	contracts  func() Contracts

	// reconciling serialises calls of reconcile. It guards writes of ownedSlots and,
	// together with mu, of reconciled.
	reconciling sync.Mutex
	ownedSlots  map[galenastair.Organisation][]Slot

	mu         sync.Mutex
	holder     *Holder
	owned      map[ShareID]*ownedShare
	handovers  map[ShareID]*receivedHandover
	reconciled reconciledState
	// appliedOffsets maps each other instance to the configuration offset that it is
	// known to have applied.
	appliedOffsets map[galenastair.InstanceID]galenastair.Offset
}

// reconciledState is the state that the owned shares were last reconciled with.
type reconciledState struct {
	epoch       galenastair.Epoch
	incarnation int64
	offset      galenastair.Offset
}

func newLender(assignment func() Assignment, contracts func() Contracts) *lender {
	return &lender{
		assignment:     assignment,
		contracts:      contracts,
		holder:         NewHolder(),
		owned:          make(map[ShareID]*ownedShare),
		handovers:      make(map[ShareID]*receivedHandover),
		appliedOffsets: make(map[galenastair.InstanceID]galenastair.Offset),
	}
}

// lend answers a loan request.
//
// The assignment and the lease are checked immediately before. If the process is paused
// between this check and its response, the loan still expires LoanTTL after the request
// was sent. The next holder waits for that, so a pause cannot cause the same tokens to
// be lent twice.
func (l *lender) lend(now time.Time, req LoanRequest) LoanResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.assignment()
	if l.missedEpoch(d) || !l.serves(now, d, req.ShareID) {
		return LoanResponse{}
	}
	return l.holder.Lend(now, req)
}

// settle applies reports on loans. Reports need no lease, since they can only end
// loans.
func (l *lender) settle(now time.Time, reports ...Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		l.holder.Settle(now, r)
	}
}

// reconcile brings the owned shares up to date. It returns the instances whose applied
// offset must be known before an increased limit can take effect, and handovers for the
// shares that were reassigned to other instances.
func (l *lender) reconcile(now time.Time) (unknown []galenastair.Peer, released []Handover) {
	l.reconciling.Lock()
	defer l.reconciling.Unlock()
	d, c := l.assignment(), l.contracts()
	next := reconciledState{d.Epoch(), d.Incarnation(), c.Offset()}
	var owned map[ShareID]Contract
	if next != l.reconciled {
		// ranking the members for thousands of organisations takes too long to hold the
		// lock
		owned = l.assignedShares(d, c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if owned != nil {
		released = l.update(now, d, next, owned)
	}
	l.holder.Expire(now)
	l.openHandedOver(now, d)
	l.openServable(now, d)
	return l.applyIncreases(now, d), released
}

// update drops shares that were reassigned, returning handovers for them, and applies
// changed contracts.
func (l *lender) update(now time.Time, d Assignment, next reconciledState, owned map[ShareID]Contract) (released []Handover) {
	all := l.missedEpoch(d)
	for id := range l.owned {
		if _, ok := owned[id]; ok && !all {
			continue
		}
		if h, ok := l.release(now, d, id); ok {
			released = append(released, h)
		}
	}
	for id, contract := range owned {
		l.applyContract(now, id, contract)
	}
	l.reconciled = next
	return released
}

// missedEpoch reports whether this instance has missed an epoch in which a share may
// have belonged to another instance and returned. The recorded state of the share is
// then out of date.
func (l *lender) missedEpoch(d Assignment) bool {
	if d.Incarnation() != l.reconciled.incarnation {
		return true
	}
	return d.Epoch() != l.reconciled.epoch && d.Epoch() != l.reconciled.epoch+1
}

// assignedShares returns the shares that the epoch assigns to this instance.
func (l *lender) assignedShares(d Assignment, c Contracts) map[ShareID]Contract {
	if l.ownedSlots == nil || d.Epoch() != l.reconciled.epoch || d.Incarnation() != l.reconciled.incarnation {
		l.ownedSlots = make(map[galenastair.Organisation][]Slot)
	}
	owned := make(map[ShareID]Contract)
	for _, o := range c.Organisations() {
		contract, ok := c.Contract(o)
		if !ok {
			continue
		}
		for _, slot := range l.slotsFor(d, o) {
			owned[ShareID{o, slot}] = contract
		}
	}
	return owned
}

// slotsFor returns the slots of an organisation that are assigned to this instance.
// They are cached until the epoch changes, because most calls follow a change of
// contracts only.
func (l *lender) slotsFor(d Assignment, o galenastair.Organisation) []Slot {
	slots, known := l.ownedSlots[o]
	if known {
		return slots
	}
	for slot := range Slot(Holders) {
		if p, ok := d.Owner(ShareID{o, slot}); ok && p.ID == d.Self().ID {
			slots = append(slots, slot)
		}
	}
	l.ownedSlots[o] = slots
	return slots
}

func (l *lender) openServable(now time.Time, d Assignment) {
	for id, s := range l.owned {
		if !l.holder.IsOpen(id) && d.Serves(id, now) {
			s.effective = s.targetLimits(id)
			l.holder.Open(now, id, s.effective)
			// a later handover from the former holder must be ignored: its tokens may
			// have been lent since
			l.handovers[id] = &receivedHandover{Handover{ShareID: id, Epoch: d.Epoch()}, true}
		}
	}
}

// observeApplied records the configuration offset that another instance has applied.
func (l *lender) observeApplied(id galenastair.InstanceID, applied galenastair.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appliedOffsets[id] = max(l.appliedOffsets[id], applied)
}
