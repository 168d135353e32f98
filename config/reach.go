package config

import (
	"time"

	"galenastair"
)

// Standing says what an instance knows of the log that it follows.
type Standing string

// The standings of an instance towards the log.
const (
	// InTouch says that the log has answered lately.
	InTouch Standing = "InTouch"
	// Relayed says that the log is out of reach, and another instance that it answers was heard.
	Relayed Standing = "Relayed"
	// DownForAll says that the log answers no instance, so that no change can be accepted.
	DownForAll Standing = "DownForAll"
	// CutOff says that the log may answer instances that cannot be heard, and so
	// accept changes that this one does not see.
	CutOff Standing = "CutOff"
)

// Peer is another instance of the last known epoch.
type Peer struct {
	ID               galenastair.InstanceID
	Address          string
	AvailabilityZone galenastair.AvailabilityZone
	// Gone says that a fresh read of the platform's list no longer shows the instance.
	Gone bool
}

// silentRounds is how many rounds of questions an availability zone may leave
// unanswered. Each round asks other members of it, so three leave out of
// account one dead instance and one lost answer. A round lasts 0.85 s on average
// where the log refuses, and 2.35 s where it and the peers do not answer at all:
// a group that is cut off stops after about 7 s.
const silentRounds = 3

// reach decides whether an instance whose log is silent may go on serving.
//
// Load: 370 instances, one availability zone lost every other month, 14
// instances a day, outages of the log of minutes.
// Harm: a group cut off from the log and the rest would let keys in that were
// withdrawn meanwhile, for as long as it lasts; the opposite mistake would stop
// all service in an outage of the log in which one instance dies.
//
// Rule: a log that answers nobody accepts nothing, so an instance may serve on
// if it hears at least one instance of each availability zone and none of them
// is in touch with the log. A zone that is silent as a whole may be where the
// log still answers. It is left out of account if the platform's list shows it
// gone, or if it had one instance: that is forty times a month a dead instance
// for once that it is a lost zone. An instance that hears nobody is cut off if
// it has two or more peers.
type reach struct {
	// round counts the rounds of questions since the log last answered.
	round int
	// heard is the round in which each zone last answered.
	heard map[galenastair.AvailabilityZone]int
	// touched is when the log last answered, as far as any peer has told.
	touched time.Time
}

func newReach() reach {
	return reach{heard: make(map[galenastair.AvailabilityZone]int)}
}

// reset forgets what was heard: the log answers again.
func (r *reach) reset() { *r = newReach() }

// ask begins a round of questions.
func (r *reach) ask() { r.round++ }

// hear notes the answer of a peer in a zone; age is how long ago the log answered it, if ever.
func (r *reach) hear(now time.Time, zone galenastair.AvailabilityZone, age time.Duration, ever bool) {
	r.heard[zone] = r.round
	if at := now.Add(-age); ever && at.After(r.touched) {
		r.touched = at
	}
}

// judge decides by the own last contact, those of peers, and who was heard.
func (r *reach) judge(now, contact time.Time, limit time.Duration, peers []Peer) Standing {
	switch {
	case now.Sub(contact) <= limit:
		return InTouch
	case now.Sub(r.touched) <= limit:
		return Relayed
	case r.unheard(peers):
		return CutOff
	}
	return DownForAll
}

func (r *reach) unheard(peers []Peer) bool {
	size := make(map[galenastair.AvailabilityZone]int)
	present := make(map[galenastair.AvailabilityZone]int)
	all := 0
	for _, p := range peers {
		size[p.AvailabilityZone]++
		if !p.Gone {
			present[p.AvailabilityZone]++
			all++
		}
	}
	anybody := false
	for zone := range size {
		if r.hears(zone) {
			anybody = true
		} else if size[zone] >= 2 && present[zone] > 0 {
			return true
		}
	}
	return !anybody && all >= 2
}

// hears is true of every zone in the first rounds, before it can count as silent.
func (r *reach) hears(zone galenastair.AvailabilityZone) bool {
	return r.round-r.heard[zone] < silentRounds
}
