package config

import (
	"time"

	"galenastair"
)

// Connectivity tells whether an instance reaches the log, itself or by its peers.
type Connectivity string

// Values of Connectivity.
const (
	// Connected means that the log has answered recently.
	Connected Connectivity = "InTouch"
	// ConnectedByPeers means that this instance cannot reach the log, but has heard
	// from a peer that can.
	ConnectedByPeers Connectivity = "Relayed"
	// LogDown means that the log answers no instance, so no change can be accepted.
	LogDown Connectivity = "DownForAll"
	// Partitioned means that the log may be reachable from instances that do not respond to
	// this one, and so may accept changes that this instance does not see.
	Partitioned Connectivity = "CutOff"
)

// Peer is another instance of the last known epoch.
type Peer struct {
	ID               galenastair.InstanceID
	Address          string
	AvailabilityZone galenastair.AvailabilityZone
	// Deregistered is set when a recent read of the platform's instance list no longer
	// contains the peer.
	Deregistered bool
}

// maxUnansweredRounds is the number of consecutive rounds of requests after which an
// availability zone counts as unresponsive. Each round asks different members of the
// zone, so three rounds tolerate one dead instance and one lost response. A round takes
// 0.85 s on average if the log refuses reads, and 2.35 s if neither the log nor the peers
// respond: a partitioned group stops serving after about 7 s.
const maxUnansweredRounds = 3

// partitionDetector decides whether an instance may continue to serve while the log does
// not answer it.
//
// It is designed for 370 instances, the loss of an availability zone every two months,
// 14 instance failures a day, and log outages of minutes. If a group that is partitioned
// from the log and the other instances kept serving, it would accept keys that were
// withdrawn in the meantime, for as long as the partition lasts. If instances stopped too
// readily, the whole service would stop when a single instance dies during a log outage.
//
// A log that answers no instance accepts no changes. An instance may therefore continue
// to serve if it hears from at least one instance of each availability zone and none of
// them can reach the log. A zone that does not respond at all may be one that the log
// still answers. Such a zone is ignored if the platform's list no longer contains its
// instances, or if it had a single instance: an unresponsive zone of one instance is a dead
// instance forty times a month for each time that it is a lost zone. An instance that
// hears from no peer counts as partitioned if it has two or more peers.
type partitionDetector struct {
	// round counts the rounds of requests to peers since the log last answered.
	round int
	// lastHeard is the round in which each zone last responded.
	lastHeard map[galenastair.AvailabilityZone]int
	// peerContact is when the log last answered any peer, as reported by peers.
	peerContact time.Time
}

func newPartitionDetector() partitionDetector {
	return partitionDetector{lastHeard: make(map[galenastair.AvailabilityZone]int)}
}

// reset clears the detector after the log has answered.
func (d *partitionDetector) reset() { *d = newPartitionDetector() }

// beginRound starts a round of requests to peers.
func (d *partitionDetector) beginRound() { d.round++ }

// recordResponse records the response of a peer in a zone. age is the time since the log
// last answered that peer; it is valid only if ever is set.
func (d *partitionDetector) recordResponse(now time.Time, zone galenastair.AvailabilityZone, age time.Duration, ever bool) {
	d.lastHeard[zone] = d.round
	if at := now.Add(-age); ever && at.After(d.peerContact) {
		d.peerContact = at
	}
}

// evaluate returns the current connectivity. contact is when the log last answered this
// instance; contacts older than limit do not count.
func (d *partitionDetector) evaluate(now, contact time.Time, limit time.Duration, peers []Peer) Connectivity {
	switch {
	case now.Sub(contact) <= limit:
		return Connected
	case now.Sub(d.peerContact) <= limit:
		return ConnectedByPeers
	case d.partitioned(peers):
		return Partitioned
	}
	return LogDown
}

// partitioned reports whether a zone that counts does not respond, or no peer does.
func (d *partitionDetector) partitioned(peers []Peer) bool {
	size := make(map[galenastair.AvailabilityZone]int)
	present := make(map[galenastair.AvailabilityZone]int)
	registered := 0
	for _, p := range peers {
		size[p.AvailabilityZone]++
		if !p.Deregistered {
			present[p.AvailabilityZone]++
			registered++
		}
	}
	anyResponsive := false
	for zone := range size {
		if d.responsive(zone) {
			anyResponsive = true
		} else if size[zone] >= 2 && present[zone] > 0 {
			return true
		}
	}
	return !anyResponsive && registered >= 2
}

// responsive reports whether a zone has responded within the last maxUnansweredRounds
// rounds. It is true for every zone in the first rounds after a reset.
func (d *partitionDetector) responsive(zone galenastair.AvailabilityZone) bool {
	return d.round-d.lastHeard[zone] < maxUnansweredRounds
}
