package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/boottime"
	"galenastair/lease"
	"galenastair/planner"
	"galenastair/platform"
	"galenastair/stream"
)

// observeInterval is the interval at which the leader looks at the software versions of the servers.
const observeInterval = 100 * time.Millisecond

// softwareVersions knows at which software versions streams may have begun. The leader keeps them in log
// and in the store, and all instances have view.
type softwareVersions struct {
	log  *stream.VersionLog
	view *stream.VersionView
	// registered returns the versions of the registered servers, false before they are known.
	registered func() (map[galenastair.ServiceName][]galenastair.SoftwareVersion, bool)
	// otherRecorders returns recorders of the regions that an availability zone is not in.
	otherRecorders func(boottime.Time, galenastair.AvailabilityZone) []string
	// timeline returns the newest timeline of the store that this instance knows of.
	timeline func() galenastair.Timeline
	logger   log.Logger

	mu         sync.Mutex
	observedAt boottime.Time

	store galenastair.Store
	// readMu is held during a read of the store. readAt is when the last one began, and read and readErr
	// are its result.
	readMu  sync.Mutex
	readAt  boottime.Time
	read    stream.VersionList
	readErr error
}

// readTimeout bounds a read for which callers wait.
const readTimeout = 400 * time.Millisecond

// stored returns the versions that the store has, from a read that began after this call. Callers that
// wait at the same time share one.
func (v *softwareVersions) stored(ctx context.Context) (stream.VersionList, error) {
	called := boottime.Now()
	v.readMu.Lock()
	defer v.readMu.Unlock()
	if v.readAt <= called {
		v.readAt = boottime.Now()
		v.read, v.readErr = v.readStored(ctx)
	}
	return v.read, v.readErr
}

func (v *softwareVersions) readStored(ctx context.Context) (stream.VersionList, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	data, timeline, err := lease.ReadCheckpoint(ctx, v.store, platform.VersionTopic)
	if err != nil {
		return nil, err
	}
	c, ok := v.decode(data)
	switch {
	case !ok:
		return nil, errUnreadable
	case c.Timeline != timeline:
		return nil, errRestored
	}
	return c.List(), nil
}

var (
	// errUnreadable reports a checkpoint that this program can't read.
	errUnreadable = eris.New("the stored software versions can't be read")
	// errRestored reports a checkpoint from before the store came back from a copy.
	errRestored = eris.New("no leader has stored the software versions since the store was restored")
)

func (n *Node) newSoftwareVersions() *softwareVersions {
	return &softwareVersions{
		log:  stream.NewVersionLog(),
		view: stream.NewVersionView(),
		registered: func() (map[galenastair.ServiceName][]galenastair.SoftwareVersion, bool) {
			_, known := n.serverWatcher.follower.Age()
			return n.pool.SoftwareVersions(), known
		},
		otherRecorders: n.directory.otherRecorders,
		timeline:       n.storeTimeline,
		logger:         n.logger,
		store:          n.store,
	}
}

// storeTimeline returns the newest timeline of the store that this instance knows of.
func (n *Node) storeTimeline() galenastair.Timeline {
	return n.elector.LatestRecord().Offset.Timeline()
}

// resetTerm begins a term of this instance. The checkpoint of the leader before is restored after it.
func (v *softwareVersions) resetTerm(firstTerm bool) {
	v.log.Reset(boottime.Now(), v.view.List(), firstTerm)
}

// observe has the leader record the versions of the registered servers.
func (v *softwareVersions) observe() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := boottime.Now()
	if now.Sub(v.observedAt) < observeInterval {
		return
	}
	if registered, known := v.registered(); known {
		v.observedAt = now
		v.log.Observe(now, time.Now(), registered)
	}
}

// exchange adds the leader's list to an update.
func (v *softwareVersions) exchange(r planner.Report, u *planner.Update) {
	v.observe()
	list := v.log.List()
	u.VersionDigest = list.Digest()
	if u.VersionDigest != r.VersionDigest {
		u.Versions = list
	}
	if len(list.Several()) > 0 {
		u.OtherRecorders = v.otherRecorders(boottime.Now(), r.Zone)
	}
}

// apply applies the leader's reply to an exchange that was sent at a time.
func (v *softwareVersions) apply(sent boottime.Time, u planner.Update) {
	v.view.Apply(sent, u.VersionDigest, u.Versions)
	for s := range u.Versions {
		for _, version := range u.Versions.Versions(s) {
			v.logger.Log("event", "software version", "service", s, "server_version", version, "may_begin", u.Versions[s][version])
		}
	}
}

// checkpointer returns the callbacks with which the elector stores the versions and restores them.
func (v *softwareVersions) checkpointer() lease.Checkpointer {
	return lease.Checkpointer{
		Topic:      platform.VersionTopic,
		EveryStart: true,
		Checkpoint: func() []byte {
			v.observe()
			c, changed := v.log.Checkpoint(v.timeline())
			if !changed {
				return nil
			}
			data, err := json.Marshal(c)
			if err != nil {
				v.logger.Log("event", "note", "err", err)
			}
			return data
		},
		Stored: func(data []byte) {
			if c, ok := v.decode(data); ok {
				v.log.CheckpointStored(c)
			}
		},
		Restore: func(data []byte, _ bool) {
			if c, ok := v.decode(data); ok {
				v.log.Restore(c)
				v.view.Restore(c.List())
			}
		},
	}
}

func (v *softwareVersions) decode(data []byte) (stream.VersionCheckpoint, bool) {
	var c stream.VersionCheckpoint
	if len(data) == 0 {
		return c, true
	}
	err := json.Unmarshal(data, &c)
	if err != nil {
		v.logger.Log("event", "note", "note", string(data), "err", err)
	}
	return c, err == nil
}
