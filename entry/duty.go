package entry

import (
	"time"

	"galenastair"
	"galenastair/member"
	"galenastair/rate"
)

// claimOwnerSlot is the slot of the claim owner in the ranking of members for a key.
const claimOwnerSlot = 0

func (e *Entry) rateAssignment() rate.Assignment { return rateAssignment{e.members.Status()} }

func (e *Entry) rateContracts() rate.Contracts { return contractSource{e.follower.View()} }

func peerOf(m member.Member) galenastair.Peer {
	return galenastair.Peer{ID: m.ID, Address: m.PeerAddress, AvailabilityZone: m.AvailabilityZone}
}

// shareKey is the ranking key for the shares of an organisation's rate.
func shareKey(o galenastair.Organisation) string { return "share:" + string(o) }

// shareOwner returns the OwnerFunc of a rate share. If the ring has fewer members
// than there are shares, a member owns several. Otherwise one or two instances could
// serve only one or two thirds of each contract.
func shareOwner(a rate.ShareID) member.OwnerFunc {
	return func(v member.View) (member.Member, bool) {
		if len(v.Ring) == 0 {
			return member.Member{}, false
		}
		return member.SlotOwner(shareKey(a.Organisation), int(a.Slot)%len(v.Ring))(v)
	}
}

// claimKey is the ranking key for the owner of a claim.
func claimKey(key string) string { return "claim:" + key }

// rateAssignment tells the rate limiter which member owns which share.
type rateAssignment struct{ s *member.Status }

// Self returns this instance.
func (d rateAssignment) Self() galenastair.Peer { return peerOf(d.s.Self) }

// Epoch returns the current epoch.
func (d rateAssignment) Epoch() galenastair.Epoch { return d.s.View.Epoch }

// Incarnation returns the number of this instance's current membership, which is new
// after each join.
func (d rateAssignment) Incarnation() int64 { return int64(d.s.Self.Incarnation) }

// Owner returns the member that owns a share.
func (d rateAssignment) Owner(a rate.ShareID) (galenastair.Peer, bool) {
	m, ok := shareOwner(a)(d.s.View)
	return peerOf(m), ok
}

// Owns reports whether this instance owns a share in the current ring and its lease is valid.
func (d rateAssignment) Owns(a rate.ShareID, now time.Time) bool {
	owner, ok := shareOwner(a)(d.s.View)
	return ok && owner.Incarnation == d.s.Self.Incarnation && d.s.HoldsLease(now)
}

// Serves reports whether this instance may act as the owner of a share now.
func (d rateAssignment) Serves(a rate.ShareID, now time.Time) bool {
	return d.s.ActsAs(shareOwner(a), now)
}

// claimAssignment tells the claim manager which member owns which key.
type claimAssignment struct{ members *member.Runtime }

// Self returns this instance.
func (d claimAssignment) Self() galenastair.Peer { return peerOf(d.members.Status().Self) }

// Epoch returns the current epoch.
func (d claimAssignment) Epoch() galenastair.Epoch { return d.members.Status().View.Epoch }

// Members returns all members of the current epoch.
func (d claimAssignment) Members() []galenastair.Peer {
	// The ring is read once, since it may grow between two reads.
	ring := d.members.Status().View.Ring
	peers := make([]galenastair.Peer, len(ring))
	for i, m := range ring {
		peers[i] = peerOf(m)
	}
	return peers
}

// IncarnationOf returns the incarnation of a member. It distinguishes processes with
// the same ID, since a process that is restarted loses its copies of claims.
func (d claimAssignment) IncarnationOf(id galenastair.InstanceID) int64 {
	for _, m := range d.members.Status().View.Ring {
		if m.ID == id {
			return int64(m.Incarnation)
		}
	}
	return 0
}

// Owner returns the member that owns a key.
func (d claimAssignment) Owner(key string) (galenastair.Peer, bool) {
	m, ok := d.members.Status().Owner(claimKey(key), claimOwnerSlot)
	return peerOf(m), ok
}

// Serves reports whether this instance may act as the owner of a key now.
func (d claimAssignment) Serves(key string, now time.Time) bool {
	return d.members.Status().Serves(claimKey(key), claimOwnerSlot, now)
}

// HoldsLease reports whether this instance's lease is valid.
func (d claimAssignment) HoldsLease(now time.Time) bool { return d.members.Status().HoldsLease(now) }

// HoldsLease reports whether this instance's lease is valid.
func (e *Entry) HoldsLease(now time.Time) bool { return e.members.Status().HoldsLease(now) }
