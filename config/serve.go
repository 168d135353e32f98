package config

import (
	"time"

	"galenastair"
)

// ReadRecords returns the last folded records from an offset on, for a peer.
//
// Failure: all instances start anew while the log is down. It would show as
// entries that call every key unknown. The guard holds since an instance
// without a view answers nobody, and so none takes an empty fold for the truth.
func (f *Follower) ReadRecords(from galenastair.Offset) (galenastair.Batch, error) {
	if f.view.Load() == nil {
		return galenastair.Batch{}, ErrNoView
	}
	return f.tail.read(from), nil
}

// FetchFold returns a snapshot of the newest view, for a peer.
func (f *Follower) FetchFold() ([]byte, error) {
	v := f.view.Load()
	if v == nil {
		return nil, ErrNoView
	}
	return v.Snapshot(), nil
}

// LogAge returns how long ago the log last answered; it is negative if it never did.
func (f *Follower) LogAge() time.Duration {
	at := f.LogContact()
	if at.IsZero() {
		return -1
	}
	return f.clock.Now().Sub(at)
}
