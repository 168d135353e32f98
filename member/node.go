package member

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenastair"
)

// Node is the membership machine of one instance: it is told what happened and
// when, and returns what to do; it opens no socket and starts no goroutine.
type Node struct {
	self   Member
	timing Timing
	rules  rules
	state  State

	settling *settling
	lease    lease
	// promisedBy is when the heartbeat was sent that brought the last promise.
	promisedBy time.Time
	// renouncedAt is when this member last gave up a long promise; answers to
	// older heartbeats no longer count.
	renouncedAt time.Time
	renewals    map[galenastair.RecordID]time.Time
	renewedAt   time.Time
	beatAt      time.Time
	watcher     Incarnation

	// promised and renewed hold until when this member may not declare another,
	// by its own promises and by renewals that it has folded.
	promised map[Incarnation]time.Time
	renewed  map[Incarnation]time.Time
	// heard holds the number of the newest heartbeat of a watched member.
	heard    map[Incarnation]int64
	beats    int64
	watching watch
	handed   handover
	// declaring and admitting hold a lapse and an admission without a known outcome.
	declaring *doubt
	admitting *doubt

	contact time.Time
	gossip  gossip
	absence absence
	// askedAt is when this instance last asked to be admitted or wrote that it leaves.
	askedAt   time.Time
	foundedAt time.Time
	attempt   int
	stopping  bool
	random    *rand.Rand
	out       []Action
}

// watch is the duty that this member has as a watcher.
type watch struct {
	watched Incarnation
	epoch   galenastair.Epoch
	since   time.Time
	// released is when the words of all earlier watchers were known.
	released time.Time
	// claimed is until when the watched member has said that it may act without
	// further promises of this watcher; zero until it has said so.
	claimed time.Time
	// heard is when its last heartbeat came, probed when its address was last asked.
	heard, probed time.Time
}

// NewNode returns the machine of an instance that is no member yet; self needs
// an id, a zone, a peer address and a token.
func NewNode(self Member, timing Timing, now time.Time) *Node {
	return newNode(self, timing, rules{}, now)
}

func newNode(self Member, timing Timing, r rules, now time.Time) *Node {
	n := &Node{
		self: self, timing: timing, rules: r,
		renewals: make(map[galenastair.RecordID]time.Time),
		promised: make(map[Incarnation]time.Time),
		renewed:  make(map[Incarnation]time.Time),
		heard:    make(map[Incarnation]int64),
		gossip:   newGossip(),
		absence:  newAbsence(),
		random:   rand.New(rand.NewPCG(xxhash.Sum64String(self.Token), 0)),
	}
	n.self.Incarnation = 0
	n.state.rules = r
	n.settling = newSettling(&n.state, timing.Promise, now)
	return n
}

// State returns the fold; its reader must run on the goroutine that drives the node.
func (n *Node) State() *State { return &n.state }

// Take returns the actions since the last call.
func (n *Node) Take() []Action {
	out := n.out
	n.out = nil
	return out
}

// Tick lets time pass; it is called several times in a heartbeat period.
func (n *Node) Tick(now time.Time) {
	n.noteReleased(now)
	n.settling.prune(now)
	n.gossip.expire(now)
	if n.self.Incarnation == 0 {
		n.tickOutside(now)
		return
	}
	n.tickLease(now)
	n.tickWatch(now)
	n.tickDoubts(now)
	n.tickStuck(now)
	n.tickGossip(now)
}

// LogContact notes that the log has answered.
func (n *Node) LogContact(now time.Time) { n.contact = later(n.contact, now) }

func (n *Node) logFresh(now time.Time) bool {
	return !n.contact.IsZero() && now.Sub(n.contact) <= n.timing.Contact
}

// Restore replaces the fold by a snapshot's membership section.
func (n *Node) Restore(now time.Time, covers galenastair.Offset, raw []byte) error {
	if err := n.state.Restore(covers, raw); err != nil {
		return err
	}
	words := n.settling.words
	n.settling = newSettling(&n.state, n.timing.Promise, now)
	n.settling.self = n.self.Incarnation
	n.settling.words = words
	n.moved(now)
	return nil
}

// Fold takes the record at an offset of the control stream.
func (n *Node) Fold(now time.Time, offset galenastair.Offset, rec galenastair.Record) Verdict {
	epoch := n.state.Epoch
	verdict := n.state.Apply(offset, rec)
	if verdict == Applied && rec.Kind == KindRenew {
		n.foldRenewal(now, rec)
	}
	if n.state.Epoch != epoch {
		n.settling.enter(n.state.View, now)
		n.gossip.touch(now)
		n.moved(now)
	}
	return verdict
}

// moved takes up the duties of a changed ring.
func (n *Node) moved(now time.Time) {
	n.findSelf(now)
	n.settling.self = n.self.Incarnation
	n.dropStaleDoubts()
	n.takeUpWatch(now)
	n.findWatcher(now)
	n.lease.alone = n.alone()
	n.forgetGone()
}

// findSelf notes an own admission, known by the token, or the end of the own membership.
func (n *Node) findSelf(now time.Time) {
	if n.self.Incarnation != 0 && n.state.index(n.self.Incarnation) >= 0 {
		return
	}
	n.self.Incarnation = 0
	n.lease = lease{stopped: n.stopping}
	n.promisedBy = time.Time{}
	clear(n.renewals)
	for _, m := range n.state.Ring {
		// Also while stopping: an admission that lands late must be left again.
		if m.Token == n.self.Token {
			n.self.Incarnation = m.Incarnation
			n.promisedBy = now
			n.gossip.touch(now)
		}
	}
}

// findWatcher turns to a new watcher at once rather than at the next heartbeat.
func (n *Node) findWatcher(now time.Time) {
	watcher, _ := n.state.Watcher(n.self.Incarnation)
	if watcher.Incarnation == n.watcher {
		return
	}
	n.watcher = watcher.Incarnation
	if !n.stopping {
		n.heartbeat(now)
	}
}

// Status returns what traffic may know.
func (n *Node) Status(now time.Time) *Status {
	leader, _ := n.state.View.Leader()
	return &Status{
		Self: n.self, View: n.state.View, Leader: leader, Fence: n.state.Fence,
		Offset: n.state.Offset, Fleet: n.gossip.fleet(now), LogContact: n.contact, contact: n.timing.Contact,
		lease: n.lease, settling: n.settling.clone(),
	}
}

// Leave ends the own membership for good; the caller has already stopped its work.
func (n *Node) Leave(now time.Time) {
	// Stopped before the record is written: successors count from the record.
	n.stopping = true
	n.lease.stopped = true
	n.appendLeave(now)
}

func (n *Node) appendLeave(now time.Time) {
	if n.self.Incarnation == 0 {
		return
	}
	n.askedAt = now
	n.append(KindLeave, Leave{Incarnation: n.self.Incarnation})
	n.release(now)
}

// Left says whether the instance is no member after Leave.
func (n *Node) Left() bool { return n.stopping && n.self.Incarnation == 0 }

func (n *Node) append(kind galenastair.RecordKind, body any) galenastair.RecordID {
	rec, err := NewRecord(n.self.ID, kind, body)
	if err != nil {
		// The bodies are plain structs of strings and numbers, which always encode.
		panic(err)
	}
	n.out = append(n.out, Append{Record: rec})
	return rec.ID
}
