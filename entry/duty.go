package entry

import (
	"time"

	"galenastair"
	"galenastair/member"
	"galenastair/rate"
)

// homeSlot is the slot of a key's home in the ranking of members.
const homeSlot = 0

func (e *Entry) rateDuties() rate.Duties { return rateDuties{e.members.Status()} }

func (e *Entry) rateContracts() rate.Contracts { return contracts{e.follower.View()} }

func peerOf(m member.Member) galenastair.Peer {
	return galenastair.Peer{ID: m.ID, Address: m.PeerAddress, AvailabilityZone: m.AvailabilityZone}
}

// shareKey names an organisation's shares among all duties.
func shareKey(o galenastair.Organisation) string { return "share:" + string(o) }

// shareDuty is the duty of holding one share. A ring that is smaller than the
// number of shares gives a member several: else one or two instances would serve
// a third or two thirds of each contract.
func shareDuty(a rate.Account) member.Duty {
	return func(v member.View) (member.Member, bool) {
		if len(v.Ring) == 0 {
			return member.Member{}, false
		}
		return member.SlotDuty(shareKey(a.Organisation), int(a.Slot)%len(v.Ring))(v)
	}
}

// claimKey names a claim's home among all duties.
func claimKey(key string) string { return "claim:" + key }

// rateDuties tells the limiter which member holds which share.
type rateDuties struct{ s *member.Status }

// Self returns this instance.
func (d rateDuties) Self() galenastair.Peer { return peerOf(d.s.Self) }

// Epoch returns the present epoch.
func (d rateDuties) Epoch() galenastair.Epoch { return d.s.View.Epoch }

// Incarnation numbers this instance's present stay among the members.
func (d rateDuties) Incarnation() int64 { return int64(d.s.Self.Incarnation) }

// Owner returns the member that holds a share.
func (d rateDuties) Owner(a rate.Account) (galenastair.Peer, bool) {
	m, ok := shareDuty(a)(d.s.View)
	return peerOf(m), ok
}

// Holds says that the present ring gives this instance a share and its lease runs.
func (d rateDuties) Holds(a rate.Account, now time.Time) bool {
	owner, ok := shareDuty(a)(d.s.View)
	return ok && owner.Incarnation == d.s.Self.Incarnation && d.s.Holds(now)
}

// Serves says that this instance may hold a share now.
func (d rateDuties) Serves(a rate.Account, now time.Time) bool {
	return d.s.ServesDuty(shareDuty(a), now)
}

// claimDuties tells the keeper of claims which member is a key's home.
type claimDuties struct{ members *member.Runtime }

// Self returns this instance.
func (d claimDuties) Self() galenastair.Peer { return peerOf(d.members.Status().Self) }

// Epoch returns the present epoch.
func (d claimDuties) Epoch() galenastair.Epoch { return d.members.Status().View.Epoch }

// Members lists all instances of the present epoch.
func (d claimDuties) Members() []galenastair.Peer {
	// one status for both: the ring may grow between two looks
	ring := d.members.Status().View.Ring
	peers := make([]galenastair.Peer, len(ring))
	for i, m := range ring {
		peers[i] = peerOf(m)
	}
	return peers
}

// IncarnationOf tells apart the processes that have had the same ID: the copies of
// one that was started again are lost.
func (d claimDuties) IncarnationOf(id galenastair.InstanceID) int64 {
	for _, m := range d.members.Status().View.Ring {
		if m.ID == id {
			return int64(m.Incarnation)
		}
	}
	return 0
}

// Home returns a key's home.
func (d claimDuties) Home(key string) (galenastair.Peer, bool) {
	m, ok := d.members.Status().Owner(claimKey(key), homeSlot)
	return peerOf(m), ok
}

// Serves says that this instance may be a key's home now.
func (d claimDuties) Serves(key string, now time.Time) bool {
	return d.members.Status().Serves(claimKey(key), homeSlot, now)
}

// Holds says that this instance's own lease runs.
func (d claimDuties) Holds(now time.Time) bool { return d.members.Status().Holds(now) }

// Holds says that this instance's own lease runs.
func (e *Entry) Holds(now time.Time) bool { return e.members.Status().Holds(now) }
