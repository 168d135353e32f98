package member

import "galenastair"

// Incarnation numbers one stay of an instance in the ring by the epoch that it joined with; zero is none.
type Incarnation int64

// Member is one instance of the ring, as the fold of the control stream knows it.
type Member struct {
	ID               galenastair.InstanceID
	Incarnation      Incarnation
	AvailabilityZone galenastair.AvailabilityZone
	PeerAddress      string
	// Token is chosen by the process that joined, which knows its own admission by it.
	Token string
	// Renewal is the offset of the member's last valid renewal through the log, plus one.
	Renewal galenastair.Offset
	// WatchedSince is the epoch that gave the member its present watcher.
	WatchedSince galenastair.Epoch
}

// View is the ring of one epoch; each member is watched by the next, the last by the first.
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

// Watched returns the member that an incarnation watches; alone, that is itself.
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

func (v View) taken(id galenastair.InstanceID, address string) bool {
	for _, m := range v.Ring {
		if m.ID == id || m.PeerAddress == address {
			return true
		}
	}
	return false
}
