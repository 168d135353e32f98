package member

import "galenastair"

// Incarnation identifies one membership of an instance by the epoch in which it joined; zero means none.
type Incarnation int64

// Member is an instance in the ring, as given by the records of the control stream.
type Member struct {
	ID               galenastair.InstanceID
	Incarnation      Incarnation
	AvailabilityZone galenastair.AvailabilityZone
	PeerAddress      string
	// Token is chosen by the joining process, which recognises its own admission by it.
	Token string
	// Renewal is the offset of the member's last valid renewal through the log, plus one.
	Renewal galenastair.Offset
	// WatchedSince is the epoch in which the member got its current watcher.
	WatchedSince galenastair.Epoch
}

// View is the ring of one epoch. Each member is watched by the next one, and the last by the first.
type View struct {
	Epoch galenastair.Epoch
	Ring  []Member
}

// Find returns the member with an incarnation.
func (v View) Find(inc Incarnation) (Member, bool) {
	if i := v.index(inc); i >= 0 {
		return v.Ring[i], true
	}
	return Member{}, false
}

// Watcher returns the member that watches an incarnation.
func (v View) Watcher(inc Incarnation) (Member, bool) {
	i := v.index(inc)
	if i < 0 {
		return Member{}, false
	}
	return v.Ring[(i+1)%len(v.Ring)], true
}

// Watched returns the member that an incarnation watches. A sole member watches itself.
func (v View) Watched(inc Incarnation) (Member, bool) {
	i := v.index(inc)
	if i < 0 {
		return Member{}, false
	}
	return v.Ring[(i+len(v.Ring)-1)%len(v.Ring)], true
}

// Leader returns the member that joined first.
func (v View) Leader() (Member, bool) {
	if len(v.Ring) == 0 {
		return Member{}, false
	}
	oldest := v.Ring[0]
	for _, m := range v.Ring[1:] {
		if m.Incarnation < oldest.Incarnation {
			oldest = m
		}
	}
	return oldest, true
}

func (v View) index(inc Incarnation) int {
	for i, m := range v.Ring {
		if m.Incarnation == inc {
			return i
		}
	}
	return -1
}

func (v View) hasIDOrAddress(id galenastair.InstanceID, address string) bool {
	for _, m := range v.Ring {
		if m.ID == id || m.PeerAddress == address {
			return true
		}
	}
	return false
}
