package config

import (
	"time"

	"galenastair"
)

// ReadRecords returns the recently applied records from an offset on to a peer.
//
// It returns ErrNotCaughtUp before the first view. Otherwise, if all instances restarted
// while the log is down, they would take each other's empty state for the configuration
// and reject every key as unknown.
func (f *Follower) ReadRecords(from galenastair.Offset) (galenastair.Batch, error) {
	if f.view.Load() == nil {
		return galenastair.Batch{}, ErrNotCaughtUp
	}
	return f.tail.read(from), nil
}

// FetchSnapshot returns a snapshot of the newest view to a peer.
func (f *Follower) FetchSnapshot() ([]byte, error) {
	v := f.view.Load()
	if v == nil {
		return nil, ErrNotCaughtUp
	}
	return v.Snapshot(), nil
}

// LogAge returns the time since the log last answered; it is negative if it never did.
func (f *Follower) LogAge() time.Duration {
	at := f.LogContact()
	if at.IsZero() {
		return -1
	}
	return f.clock.Now().Sub(at)
}
