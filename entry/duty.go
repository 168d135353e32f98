package entry

import (
	"time"

	"galenastair"
	"galenastair/claim"
	"galenastair/member"
	"galenastair/rate"
)

// homeSlot is the slot of a key's home in the ranking of members.
const homeSlot = 0

func (e *Entry) rateDuties() rate.Duties { return rateDuties{e.members.Status()} }

func (e *Entry) rateContracts() rate.Contracts { return contracts{e.follower.View()} }

func ratePeer(m member.Member) rate.Peer {
	return rate.Peer{ID: m.ID, Address: m.PeerAddress, AvailabilityZone: m.AvailabilityZone}
}

func claimPeer(m member.Member) claim.Peer { return claim.Peer(ratePeer(m)) }

// shareKey names an organisation's shares among all duties.
func shareKey(o galenastair.Organisation) string { return "share:" + string(o) }

// claimKey names a claim's home among all duties.
func claimKey(key string) string { return "claim:" + key }

// rateDuties tells the limiter which member holds which share.
type rateDuties struct{ s *member.Status }

// Self returns this instance.
func (d rateDuties) Self() rate.Peer { return ratePeer(d.s.Self) }

// Epoch returns the present epoch.
func (d rateDuties) Epoch() galenastair.Epoch { return d.s.View.Epoch }

// Incarnation numbers this instance's present stay among the members.
func (d rateDuties) Incarnation() int64 { return int64(d.s.Self.Incarnation) }

// Owner returns the member that holds a share.
func (d rateDuties) Owner(a rate.Account) (rate.Peer, bool) {
	m, ok := d.s.Owner(shareKey(a.Organisation), int(a.Slot))
	return ratePeer(m), ok
}

// Serves says that this instance may hold a share now.
func (d rateDuties) Serves(a rate.Account, now time.Time) bool {
	return d.s.Serves(shareKey(a.Organisation), int(a.Slot), now)
}

// claimDuties tells the keeper of claims which member is a key's home.
type claimDuties struct{ members *member.Runtime }

// Self returns this instance.
func (d claimDuties) Self() claim.Peer { return claimPeer(d.members.Status().Self) }

// Epoch returns the present epoch.
func (d claimDuties) Epoch() galenastair.Epoch { return d.members.Status().View.Epoch }

// Members lists all instances of the present epoch.
func (d claimDuties) Members() []claim.Peer {
	peers := make([]claim.Peer, len(d.members.Status().View.Ring))
	for i, m := range d.members.Status().View.Ring {
		peers[i] = claimPeer(m)
	}
	return peers
}

// Home returns a key's home.
func (d claimDuties) Home(key string) (claim.Peer, bool) {
	m, ok := d.members.Status().Owner(claimKey(key), homeSlot)
	return claimPeer(m), ok
}

// Serves says that this instance may be a key's home now.
func (d claimDuties) Serves(key string, now time.Time) bool {
	return d.members.Status().Serves(claimKey(key), homeSlot, now)
}

// Holds says that this instance's own lease runs.
func (d claimDuties) Holds(now time.Time) bool { return d.members.Status().Holds(now) }

// Holds says that this instance's own lease runs.
func (e *Entry) Holds(now time.Time) bool { return e.members.Status().Holds(now) }
