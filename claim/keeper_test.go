package claim

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// newConvergedCluster returns a cluster without injected faults, whose members have asked each
// other for their attempts.
func newConvergedCluster(n int) *cluster {
	c := newCluster(1, n)
	c.catchUp()
	return c
}

// catchUp lets all members apply all epochs and then do their periodic work.
func (c *cluster) catchUp() {
	for range 3 {
		for _, n := range c.runningNodes() {
			n.applyNextEpoch()
		}
	}
	for range 2 {
		for _, n := range c.runningNodes() {
			n.manager.Tick(context.Background())
		}
	}
}

// kill stops a node and removes it from the members.
func (c *cluster) kill(n *node) {
	c.mu.Lock()
	n.stopped = true
	c.mu.Unlock()
	c.changeMembers(n.index)
	c.catchUp()
}

func (n *node) begin(key, digest, id string) (*Claim, error) {
	return n.manager.Begin(context.Background(), "Furnir", galenastair.IdempotencyKey(key), Digest(digest), galenastair.RequestID(id))
}

// keyOwnedBy returns an idempotency key that all nodes in seenBy consider to be owned by owner.
func (c *cluster) keyOwnedBy(owner *node, seenBy ...*node) string {
	for i := 0; ; i++ {
		key := fmt.Sprint("bid-", i)
		agreed := !slices.ContainsFunc(seenBy, func(n *node) bool {
			p, _ := n.Owner(string(KeyOf("Furnir", galenastair.IdempotencyKey(key))))
			return p != owner.peer
		})
		if agreed {
			return key
		}
	}
}

func refusalOf(t *testing.T, err error) *galenastair.Refusal {
	t.Helper()
	var r *galenastair.Refusal
	if !errors.As(err, &r) {
		t.Fatalf("not a refusal: %v", err)
	}
	return r
}

// A caller that repeats its bid through another instance receives the state of the first one.
func TestSecondBeginReturnsOutcome(t *testing.T) {
	is := is.New(t)
	c := newConvergedCluster(4)
	first, err := c.nodes[0].begin("bid", "d", "1")
	is.NoErr(err)
	_, err = c.nodes[1].begin("bid", "d", "2")
	is.True(errors.Is(err, galenastair.ErrDuplicateInProgress))
	is.Equal(refusalOf(t, err).Outcome, galenastair.OutcomeUnknown)
	_, err = c.nodes[1].begin("bid", "other", "3")
	is.True(errors.Is(err, galenastair.ErrBadRequest))
	first.Finish(galenastair.OutcomeNotRun)
	c.catchUp()
	again, err := c.nodes[2].begin("bid", "d", "4")
	is.NoErr(err)
	again.Finish(galenastair.OutcomeRan)
	c.catchUp()
	for _, n := range c.nodes {
		_, err = n.begin("bid", "d", "5")
		is.True(errors.Is(err, galenastair.ErrDuplicate))
		is.Equal(refusalOf(t, err).Outcome, galenastair.OutcomeRan)
	}
}

// The sender of a bid dies, and then the owner of its key. A repeated bid must be refused with
// the outcome Unknown. Fails if restoreCopies does nothing.
func TestDeadSenderLeavesUnknown(t *testing.T) {
	is := is.New(t)
	c := newConvergedCluster(6)
	key := c.keyOwnedBy(c.nodes[1], c.nodes[0])
	_, err := c.nodes[0].begin(key, "d", "1")
	is.NoErr(err)
	c.kill(c.nodes[0])
	c.kill(c.nodes[1])
	for _, n := range c.runningNodes() {
		_, err = n.begin(key, "d", "2")
		is.True(errors.Is(err, galenastair.ErrDuplicate))
		is.Equal(refusalOf(t, err).Outcome, galenastair.OutcomeUnknown)
	}
}

// The sender of a bid dies, the message with a copy for a third instance is lost, and then the
// owner dies. Fails if a copy that was sent but not confirmed counts as stored.
func TestLostCopyIsSentAgain(t *testing.T) {
	is := is.New(t)
	c := newConvergedCluster(6)
	key := c.keyOwnedBy(c.nodes[1], c.nodes[0])
	_, err := c.nodes[0].begin(key, "d", "1")
	is.NoErr(err)
	c.loseNextTell = true
	c.kill(c.nodes[0])
	is.True(!c.loseNextTell)
	c.kill(c.nodes[1])
	_, err = c.nodes[2].begin(key, "d", "2")
	is.True(errors.Is(err, galenastair.ErrDuplicate))
}

// The sender is killed and restarted with the same ID. The new process cannot settle the bid.
// Fails if isSenderMember compares only the ID.
func TestRestartedSenderLeavesUnknown(t *testing.T) {
	is := is.New(t)
	c := newConvergedCluster(4)
	_, err := c.nodes[0].begin("bid", "d", "1")
	is.NoErr(err)
	c.firstNodeIncarnation = 1
	_, err = c.nodes[1].begin("bid", "d", "2")
	is.True(errors.Is(err, galenastair.ErrDuplicate))
	is.Equal(refusalOf(t, err).Outcome, galenastair.OutcomeUnknown)
}

// The sender of a bid dies and its copy is stored on a third instance, which loses it by a
// restart with the same ID; then the owner dies. Fails if copies are recorded by ID only.
func TestCopyLostByRestartIsReplaced(t *testing.T) {
	is := is.New(t)
	tried := 0
	for i := 0; tried < 2; i++ {
		c := newConvergedCluster(6)
		key := fmt.Sprint("bid-", i)
		_, err := c.nodes[2].begin(key, "d", "1")
		is.NoErr(err)
		c.kill(c.nodes[2])
		owner, _ := c.nodes[3].Owner(string(KeyOf("Furnir", galenastair.IdempotencyKey(key))))
		if owner != c.nodes[1].peer || c.nodes[0].manager.table.Len() == 0 {
			continue
		}
		tried++
		c.nodes[0].manager.table = NewTable()
		c.firstNodeIncarnation++
		c.changeMembers(-1)
		c.catchUp()
		c.kill(c.nodes[1])
		_, err = c.nodes[3].begin(key, "d", "2")
		is.True(errors.Is(err, galenastair.ErrDuplicate))
	}
}

// The owner grants a key and dies, and the next owner takes over before the reply is read. The
// sender sends the bid, and its caller repeats it through another instance. Fails if the
// attempt is recorded only after the owner's reply.
func TestOwnerDiesBeforeReplyArrives(t *testing.T) {
	is := is.New(t)
	c := newConvergedCluster(6)
	key := c.keyOwnedBy(c.nodes[1], c.nodes[0])
	c.afterBegin = func() { c.kill(c.nodes[1]) }
	_, err := c.nodes[0].begin(key, "d", "1")
	is.NoErr(err)
	for _, n := range c.runningNodes()[1:] {
		_, err = n.begin(key, "d", "2")
		is.True(err != nil)
	}
}

// An instance that the others have declared lapsed, and that has not applied that epoch yet, asks an
// owner that has.
// If the owner granted the key, the next owner would not ask this instance for its attempt.
// Fails without the check that the sender is a member.
func TestLapsedSenderIsRefused(t *testing.T) {
	is := is.New(t)
	c := newConvergedCluster(6)
	lapsed := c.nodes[0]
	c.changeMembers(lapsed.index)
	for _, n := range c.nodes[1:] {
		n.applyNextEpoch()
	}
	for _, n := range c.nodes[1:] {
		n.manager.Tick(context.Background())
	}
	key := c.keyOwnedBy(c.nodes[1], lapsed, c.nodes[2])
	_, err := lapsed.begin(key, "d", "1")
	is.True(errors.Is(err, galenastair.ErrClaimUnavailable))
	is.Equal(refusalOf(t, err).Outcome, galenastair.OutcomeNotRun)
}

// An instance in an old epoch asks an instance that no longer owns the key.
func TestFormerOwnerRefuses(t *testing.T) {
	is := is.New(t)
	c := newConvergedCluster(6)
	key := c.keyOwnedBy(c.nodes[1], c.nodes[0])
	other := c.nodes[2].manager
	a := Attempt{Key: KeyOf("Furnir", galenastair.IdempotencyKey(key)), ID: AttemptID{"entry-0", "1"}, Digest: "d", State: Open}
	is.True(errors.Is(other.grant(context.Background(), a), galenastair.ErrClaimUnavailable))
}

func TestClaimNeedsSecondInstance(t *testing.T) {
	is := is.New(t)
	_, err := newConvergedCluster(1).nodes[0].begin("bid", "d", "1")
	is.True(errors.Is(err, galenastair.ErrClaimUnavailable))
	is.Equal(refusalOf(t, err).Outcome, galenastair.OutcomeNotRun)
}

// Messages about an attempt arrive in any order. Fails if settle lets Open replace an outcome,
// and if NotRun leaves no tombstone.
func TestOutcomeOverridesLateCopies(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	always := func(*Attempt) bool { return true }
	table := NewTable()
	open := Attempt{Key: "k", ID: AttemptID{"a", "1"}, Digest: "d", State: Open, StartedAt: now}
	free, ran := open, open
	free.State, ran.State = galenastair.OutcomeNotRun, galenastair.OutcomeRan
	table.Merge(now, free)
	table.Merge(now, open)
	is.Equal(table.Open(now, open, always), errAlreadySettled)
	second := open
	second.ID.Request = "2"
	is.NoErr(table.Open(now, second, always))
	ran.ID = second.ID
	table.Merge(now, ran)
	table.Merge(now, second)
	third := open
	third.ID.Request = "3"
	is.Equal(refusalOf(t, table.Open(now, third, always)).Outcome, galenastair.OutcomeRan)
	is.NoErr(table.Open(now.Add(Lifetime), third, always))
	is.Equal(table.Len(), 1)
}

// A request that crashed a backend server is tried on one more. After the second crash it is
// refused for a while, by the instance that saw the crash and by those that were told of it.
func TestPoisonRequestIsTriedTwice(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var announced []Crash
	here := NewPoisonTracker(func(c Crash) { announced = append(announced, c) })
	there := NewPoisonTracker(nil)
	is.NoErr(here.Allow(now, "d"))
	is.True(here.RecordCrash(now, Crash{Digest: "d"}))
	there.RecordRemoteCrash(now, announced[0])
	is.NoErr(there.Allow(now, "d"))
	is.True(!there.RecordCrash(now, Crash{Digest: "d"}))
	is.True(errors.Is(there.Allow(now, "d"), galenastair.ErrPoisonRequest))
	is.NoErr(there.Allow(now, "e"))
	is.NoErr(there.Allow(now.Add(refusalDuration), "d"))
	for i := range maxPoisonEntries + 10 {
		here.RecordRemoteCrash(now, Crash{Digest: Digest(fmt.Sprint(i))})
	}
	is.True(len(here.crashes) <= maxPoisonEntries)
}

// Two instances over HTTP: the second one learns that the first one holds the key.
func TestOverHTTP(t *testing.T) {
	is := is.New(t)
	c := newConvergedCluster(2)
	for _, n := range c.nodes {
		server := httptest.NewServer(n.manager.Handler())
		defer server.Close()
		n.peer.Address = server.Listener.Addr().String()
		n.manager.peerClient = n.manager.httpPeerClient
	}
	_, err := c.nodes[0].begin("bid", "d", "1")
	is.NoErr(err)
	_, err = c.nodes[1].begin("bid", "d", "2")
	is.True(errors.Is(err, galenastair.ErrDuplicateInProgress))
	is.Equal(refusalOf(t, err).RetryAfter, unsettledRetryAfter)
}
