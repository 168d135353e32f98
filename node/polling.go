package node

import "time"

const (
	// maxConfigPollTimeout and registrationPollTimeout are the timeouts of long polls. They bound
	// how long a dead connection can hide a new version, or that a server is leaving.
	maxConfigPollTimeout    = 1700 * time.Millisecond
	registrationPollTimeout = 2 * time.Second
	// leaderReadInterval is the minimum time between two reads by the leader, which reads for
	// all instances.
	leaderReadInterval = 400 * time.Millisecond
	// hintMargin is subtracted from the time within which a change must take effect. It covers
	// the call to the store that an instance makes once the leader's last hint is too old.
	hintMargin = 400 * time.Millisecond
	// leaderPollTimeout is the timeout of the leader's long polls. It bounds the age of the
	// leader's hints while nothing changes.
	leaderPollTimeout = 450 * time.Millisecond
	// maxHintAgeFloor is the minimum of maxHintAge on platforms whose bounds leave no time.
	maxHintAgeFloor = 100 * time.Millisecond
	// minConfigPollTimeout is the minimum of configPollTimeout on such platforms.
	minConfigPollTimeout = 100 * time.Millisecond
	// configReadInterval and registrationReadInterval are the minimum times between two reads,
	// so that one call returns several changes in a row. They are well below the times within
	// which a version, or the leaving of a server, must take effect.
	configReadInterval       = 150 * time.Millisecond
	registrationReadInterval = time.Second
)

// maxHintAge returns the maximum age of a hint that this instance uses instead of reading the
// store itself.
func (n *Node) maxHintAge() time.Duration {
	return max(maxHintAgeFloor, min(n.settings.Bounds.ApplyTimeout, n.settings.Bounds.LeaveTimeout)-hintMargin)
}

// pollTimeout returns the timeout of a long poll. The leader polls more often, because the age of
// its data bounds the age of all other instances' data.
func (n *Node) pollTimeout(nonLeader time.Duration) time.Duration {
	if n.lease.Holds() {
		return leaderPollTimeout
	}
	return nonLeader
}

// configPollTimeout returns the timeout of an instance that reads the configuration itself. While
// nothing changes, its configuration gets as old as two polls take, which must be less than the age
// at which it can deny no request any more.
func (n *Node) configPollTimeout() time.Duration {
	return min(maxConfigPollTimeout, max(minConfigPollTimeout, (n.settings.Bounds.ApplyTimeout-hintMargin)/2))
}

// registrationReadInterval returns the minimum time between two reads of the registrations. The
// leader reads more often, because its changes reach the other instances one exchange later.
func (n *Node) registrationReadInterval() time.Duration {
	if n.lease.Holds() {
		return leaderReadInterval
	}
	return registrationReadInterval
}
