package stream

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenastair"
	"galenastair/boottime"
)

const (
	// listMaxAge is how long an instance relies on the leader's list of software versions. It spans two
	// exchanges of an idle instance.
	listMaxAge = 1500 * time.Millisecond
	// versionMemory is how long a version stays listed after its last server has left. Streams that began
	// at it may still be resumed then.
	versionMemory = 10 * time.Minute
)

// VersionList holds the software versions that the servers of each service have, or have had until
// recently. The value reports whether streams may begin at the version.
type VersionList map[galenastair.ServiceName]map[galenastair.SoftwareVersion]bool

// VersionDigest identifies the contents of a VersionList. It is not 0 for any list.
type VersionDigest uint64

// Digest returns the digest of the list.
func (l VersionList) Digest() VersionDigest {
	// the keys of maps are encoded in order, and neither names nor flags fail to encode
	data, _ := json.Marshal(l)
	return max(1, VersionDigest(xxhash.Sum64(data)))
}

// Set adds a version, or changes whether streams may begin at it.
func (l VersionList) Set(s galenastair.ServiceName, v galenastair.SoftwareVersion, mayBegin bool) {
	if l[s] == nil {
		l[s] = map[galenastair.SoftwareVersion]bool{}
	}
	l[s][v] = mayBegin
}

// Versions returns the listed versions of a service.
func (l VersionList) Versions(s galenastair.ServiceName) []galenastair.SoftwareVersion {
	return slices.Sorted(maps.Keys(l[s]))
}

// Several returns the services that have more than one version, in order.
func (l VersionList) Several() []galenastair.ServiceName {
	var out []galenastair.ServiceName
	for s, versions := range l {
		if len(versions) > 1 {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return out
}

// VersionView is the leader's VersionList as this instance last received it. It is safe for concurrent
// use.
type VersionView struct {
	list atomic.Pointer[VersionList]
	// unrestricted is set while the leader lists no versions, as its program is older.
	unrestricted atomic.Bool

	mu          sync.Mutex
	digest      VersionDigest
	confirmedAt boottime.Time
	confirmed   bool
	changed     chan struct{}
}

// NewVersionView returns a view with no list.
func NewVersionView() *VersionView {
	v := &VersionView{changed: make(chan struct{})}
	v.list.Store(&VersionList{})
	return v
}

// List returns the list, which must not be changed.
func (v *VersionView) List() VersionList { return *v.list.Load() }

// MayBegin reports whether a stream may begin at a software version. All instances that infer where an
// unknown stream began know of the version then, and so do their successors.
func (v *VersionView) MayBegin(s galenastair.ServiceName, version galenastair.SoftwareVersion) bool {
	return v.List()[s][version] || v.unrestricted.Load()
}

// Digest returns the digest of the list that the leader has sent; 0 if it has sent none.
func (v *VersionView) Digest() VersionDigest {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.digest
}

// Restore sets the list that is stored, unless the leader has sent one.
func (v *VersionView) Restore(l VersionList) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.digest == 0 {
		v.replace(l)
	}
}

// Apply applies the reply of the leader to a call that was sent at a time. The list is nil if its digest
// is still the one of the call; the digest is 0 if the leader lists no versions.
func (v *VersionView) Apply(sent boottime.Time, d VersionDigest, l VersionList) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unrestricted.Swap(d == 0) != (d == 0) {
		v.notify()
	}
	switch {
	case d == 0:
		return
	case l != nil:
		v.digest = d
		v.replace(l)
	case d != v.digest:
		return
	}
	v.confirmedAt, v.confirmed = sent, true
}

func (v *VersionView) replace(l VersionList) {
	v.list.Store(&l)
	v.notify()
}

func (v *VersionView) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the list.
func (v *VersionView) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Fresh reports whether the list has all versions at which a stream may have begun by now.
func (v *VersionView) Fresh(now boottime.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmed && now.Sub(v.confirmedAt) < listMaxAge
}

// VersionCheckpoint holds the versions at which streams may have begun, for later leaders and for
// instances that start.
type VersionCheckpoint struct {
	// Timeline is the one in which the checkpoint was written. A store that came back from a copy may lack
	// versions as long as it has a checkpoint of an earlier timeline.
	Timeline galenastair.Timeline
	// Services has the Unix time in seconds at which the last server of a version left; 0 while it has
	// servers.
	Services map[galenastair.ServiceName]map[galenastair.SoftwareVersion]int64
}

// List returns the versions of the checkpoint. Streams may begin at each of them.
func (c VersionCheckpoint) List() VersionList {
	l := VersionList{}
	for s, versions := range c.Services {
		for version := range versions {
			l.Set(s, version, true)
		}
	}
	return l
}

// VersionLog is the leader's record of the software versions.
//
// Failure guarded against: an instance takes a stream that it does not know for one of the only version
// that it knows, although others have begun at another version that came, or has gone, meanwhile. So a
// version is listed for listMaxAge before it is stored, and stored before a stream begins at it.
type VersionLog struct {
	mu      sync.Mutex
	entries map[galenastair.ServiceName]map[galenastair.SoftwareVersion]*versionEntry
	// soleFrom is when no instance relies on the list of an earlier leader any more.
	soleFrom boottime.Time
	// stored is what the platform has stored.
	stored VersionCheckpoint
}

type versionEntry struct {
	// settled is set once the version may be stored, and stored once it is.
	settled, stored bool
	listedAt        boottime.Time
	goneAt          time.Time
}

// NewVersionLog returns a log without versions.
func NewVersionLog() *VersionLog {
	l := &VersionLog{}
	l.Reset(0, nil, false)
	return l
}

// Reset begins a term with the versions that this instance knows of. firstTerm is set if there has been no
// leader before.
func (l *VersionLog) Reset(now boottime.Time, known VersionList, firstTerm bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.soleFrom = now.Add(listMaxAge)
	if firstTerm {
		l.soleFrom = now
	}
	l.entries = map[galenastair.ServiceName]map[galenastair.SoftwareVersion]*versionEntry{}
	l.stored = VersionCheckpoint{}
	for s, versions := range known {
		for version, mayBegin := range versions {
			l.entry(now, s, version).settled = mayBegin
		}
	}
}

// Restore adds the versions that are stored.
func (l *VersionLog) Restore(c VersionCheckpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stored = c
	for s, versions := range c.Services {
		for version, goneAt := range versions {
			e := l.entry(0, s, version)
			e.settled, e.stored = true, true
			if goneAt != 0 {
				e.goneAt = time.Unix(goneAt, 0)
			}
		}
	}
}

// entry returns the entry of a version, and adds it if there is none. The lock must be held.
func (l *VersionLog) entry(now boottime.Time, s galenastair.ServiceName, v galenastair.SoftwareVersion) *versionEntry {
	if l.entries[s] == nil {
		l.entries[s] = map[galenastair.SoftwareVersion]*versionEntry{}
	}
	e := l.entries[s][v]
	if e == nil {
		e = &versionEntry{listedAt: now}
		l.entries[s][v] = e
	}
	return e
}

// Observe records the versions of the registered servers. wall is the time of day.
func (l *VersionLog) Observe(now boottime.Time, wall time.Time, registered map[galenastair.ServiceName][]galenastair.SoftwareVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s, versions := range registered {
		// nobody infers a version of a service of which no list has any
		isNew := len(l.entries[s]) == 0 && now >= l.soleFrom
		for _, version := range versions {
			e := l.entry(now, s, version)
			e.goneAt, e.settled = time.Time{}, e.settled || isNew
		}
	}
	for s, versions := range l.entries {
		for version, e := range versions {
			e.settled = e.settled || now.Sub(e.listedAt) >= listMaxAge
			switch {
			case slices.Contains(registered[s], version):
			case e.goneAt.IsZero(), e.goneAt.After(wall):
				e.goneAt = wall
			case wall.Sub(e.goneAt) > versionMemory:
				delete(versions, version)
			}
		}
	}
}

// List returns the list for all instances.
func (l *VersionLog) List() VersionList {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := VersionList{}
	for s, versions := range l.entries {
		for version, e := range versions {
			out.Set(s, version, e.stored)
		}
	}
	return out
}

// Checkpoint returns the versions to store in a timeline, and false if they are stored already.
func (l *VersionLog) Checkpoint(t galenastair.Timeline) (VersionCheckpoint, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := VersionCheckpoint{t, map[galenastair.ServiceName]map[galenastair.SoftwareVersion]int64{}}
	for s, versions := range l.entries {
		for version, e := range versions {
			if !e.settled {
				continue
			}
			if c.Services[s] == nil {
				c.Services[s] = map[galenastair.SoftwareVersion]int64{}
			}
			c.Services[s][version] = 0
			if !e.goneAt.IsZero() {
				c.Services[s][version] = e.goneAt.Unix()
			}
		}
	}
	return c, t != l.stored.Timeline || !maps.EqualFunc(c.Services, l.stored.Services, maps.Equal)
}

// CheckpointStored records that the platform has stored a checkpoint of this term.
func (l *VersionLog) CheckpointStored(c VersionCheckpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stored = c
	for s, versions := range c.Services {
		for version := range versions {
			if e := l.entries[s][version]; e != nil {
				e.stored = true
			}
		}
	}
}
