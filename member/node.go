package member

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenastair"
)

// Node is the membership state machine of one instance. It is given events with their times and
// returns actions. It does no I/O and starts no goroutines.
type Node struct {
	self   Member
	timing Timing
	rules  rules
	state  State

	history *ownerHistory
	lease   lease
	// lastGrantSent is when the heartbeat was sent whose reply brought the last grant.
	lastGrantSent time.Time
	// shortenedAt is when this member last shortened a long lease. Long grants in replies to older
	// heartbeats no longer count.
	shortenedAt     time.Time
	pendingRenewals map[galenastair.RecordID]time.Time
	renewalSentAt   time.Time
	heartbeatAt     time.Time
	watcher         Incarnation

	// grantedUntil and renewedUntil hold, by member, the time until which this member may not
	// declare it lapsed: because of its own grants, and because of renewals that it has applied.
	grantedUntil map[Incarnation]time.Time
	renewedUntil map[Incarnation]time.Time
	// lastSequence holds the highest heartbeat sequence received from each member.
	lastSequence   map[Incarnation]int64
	heartbeatCount int64
	watching       watch
	handover       outgoingHandover
	// pendingLapse and pendingJoin are a Lapse and a Join whose outcome is not known yet.
	pendingLapse *pendingRecord
	pendingJoin  *pendingRecord

	logContact time.Time
	gossip     gossipState
	evidence   deathEvidence
	// requestedAt is when this instance last asked for admission or appended its Leave.
	requestedAt    time.Time
	bootstrappedAt time.Time
	admitAttempts  int
	stopping       bool
	random         *rand.Rand
	actions        []Action
}

// watch is this member's watch over the previous member of the ring.
type watch struct {
	watched Incarnation
	epoch   galenastair.Epoch
	since   time.Time
	// priorAckedAt is when all earlier watchers were known to have acknowledged the change of watcher.
	priorAckedAt time.Time
	// priorLeaseEnd is when the lease ends that the watched member held when it first addressed this
	// watcher, as reported by that member or by the previous watcher; zero if not known yet.
	priorLeaseEnd time.Time
	// heartbeatAt is when its last heartbeat arrived; probedAt is when its address was last probed.
	heartbeatAt, probedAt time.Time
}

// NewNode returns the node of an instance that is not a member yet. The fields ID,
// AvailabilityZone, PeerAddress and Token of self must be set.
func NewNode(self Member, timing Timing, now time.Time) *Node {
	return newNode(self, timing, rules{}, now)
}

func newNode(self Member, timing Timing, r rules, now time.Time) *Node {
	n := &Node{
		self: self, timing: timing, rules: r,
		pendingRenewals: make(map[galenastair.RecordID]time.Time),
		grantedUntil:    make(map[Incarnation]time.Time),
		renewedUntil:    make(map[Incarnation]time.Time),
		lastSequence:    make(map[Incarnation]int64),
		gossip:          newGossip(),
		evidence:        newDeathEvidence(),
		random:          rand.New(rand.NewPCG(xxhash.Sum64String(self.Token), 0)),
	}
	n.self.Incarnation = 0
	n.state.rules = r
	n.history = newOwnerHistory(&n.state, timing.GrantDuration, now)
	return n
}

// State returns the applied state. It must only be read on the goroutine that drives the node.
func (n *Node) State() *State { return &n.state }

// DrainActions returns the actions requested since the last call.
func (n *Node) DrainActions() []Action {
	out := n.actions
	n.actions = nil
	return out
}

// Tick performs the time-based work. It must be called several times per heartbeat interval.
func (n *Node) Tick(now time.Time) {
	n.notePriorAcks(now)
	n.history.prune(now)
	n.gossip.expire(now)
	if n.self.Incarnation == 0 {
		n.tickNonMember(now)
		return
	}
	n.tickLease(now)
	n.tickWatch(now)
	n.retryPending(now)
	n.tickStalledWatch(now)
	n.tickGossip(now)
}

// ObserveLogContact records that the log has answered.
func (n *Node) ObserveLogContact(now time.Time) { n.logContact = later(n.logContact, now) }

func (n *Node) logContactRecent(now time.Time) bool {
	return !n.logContact.IsZero() && now.Sub(n.logContact) <= n.timing.LogContactMaxAge
}

// Restore replaces the state by the membership section of a snapshot.
func (n *Node) Restore(now time.Time, covers galenastair.Offset, raw []byte) error {
	if err := n.state.Restore(covers, raw); err != nil {
		return err
	}
	acks := n.history.acks
	n.history = newOwnerHistory(&n.state, n.timing.GrantDuration, now)
	n.history.self = n.self.Incarnation
	n.history.acks = acks
	n.ringChanged(now)
	return nil
}

// Apply applies the record at an offset of the control stream.
func (n *Node) Apply(now time.Time, offset galenastair.Offset, rec galenastair.Record) ApplyResult {
	epoch := n.state.Epoch
	result := n.state.Apply(offset, rec)
	if result == Applied && rec.Kind == KindRenew {
		n.applyRenewal(now, rec)
	}
	if n.state.Epoch != epoch {
		n.history.addView(n.state.View, now)
		n.gossip.markChanged(now)
		n.ringChanged(now)
	}
	return result
}

// ringChanged updates everything that depends on the ring.
func (n *Node) ringChanged(now time.Time) {
	n.updateSelf(now)
	n.history.self = n.self.Incarnation
	n.dropStalePending()
	n.beginWatch(now)
	n.contactNewWatcher(now)
	n.lease.soleMember = n.isSoleMember()
	n.dropRemovedMembers()
}

// updateSelf detects this instance's own admission, by its token, and the end of its membership.
func (n *Node) updateSelf(now time.Time) {
	if n.self.Incarnation != 0 && n.state.index(n.self.Incarnation) >= 0 {
		return
	}
	n.self.Incarnation = 0
	n.lease = lease{stopped: n.stopping}
	n.lastGrantSent = time.Time{}
	clear(n.pendingRenewals)
	for _, m := range n.state.Ring {
		// Also while stopping: after an admission that takes effect late, the instance must leave again.
		if m.Token == n.self.Token {
			n.self.Incarnation = m.Incarnation
			n.lastGrantSent = now
			n.gossip.markChanged(now)
		}
	}
}

// contactNewWatcher sends a heartbeat to a new watcher at once instead of at the next interval.
func (n *Node) contactNewWatcher(now time.Time) {
	watcher, _ := n.state.Watcher(n.self.Incarnation)
	if watcher.Incarnation == n.watcher {
		return
	}
	n.watcher = watcher.Incarnation
	if !n.stopping {
		n.heartbeat(now)
	}
}

// Status returns an immutable snapshot for request handling.
func (n *Node) Status(now time.Time) *Status {
	leader, _ := n.state.View.Leader()
	return &Status{
		Self: n.self, View: n.state.View, Leader: leader, Fence: n.state.Fence,
		Offset: n.state.Offset, Fleet: n.gossip.fleet(now), LogContact: n.logContact, logContactMaxAge: n.timing.LogContactMaxAge,
		lease: n.lease, history: n.history.clone(),
	}
}

// Leave ends this instance's membership for good. The caller must have stopped all work that needs the lease.
func (n *Node) Leave(now time.Time) {
	// The lease must end before the record is written, since the next owners count from the record.
	n.stopping = true
	n.lease.stopped = true
	n.appendLeave(now)
}

func (n *Node) appendLeave(now time.Time) {
	if n.self.Incarnation == 0 {
		return
	}
	n.requestedAt = now
	n.append(KindLeave, Leave{Incarnation: n.self.Incarnation})
	n.releaseLease(now)
}

// Left reports whether the instance is not a member any more after Leave.
func (n *Node) Left() bool { return n.stopping && n.self.Incarnation == 0 }

func (n *Node) append(kind galenastair.RecordKind, body any) galenastair.RecordID {
	rec, err := NewRecord(n.self.ID, kind, body)
	if err != nil {
		// The bodies are structs of strings and numbers, which can always be encoded.
		panic(err)
	}
	n.actions = append(n.actions, Append{Record: rec})
	return rec.ID
}
