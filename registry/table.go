package registry

import (
	"sync"

	"galenastair"
	"galenastair/pool"
)

// tombstoneRetention is the number of records for which removals are kept so that they can be
// sent to other instances. An instance that lags further behind reads the store instead.
const tombstoneRetention = 20_000

// Table holds the registrations that one instance has read. It is safe for concurrent use.
type Table struct {
	mu         sync.Mutex
	entries    map[galenastair.BackendServerID]*entry
	tombstones map[galenastair.BackendServerID]galenastair.Offset
	// next is the offset after the last applied record. Removals before compactOffset are
	// not known.
	next          galenastair.Offset
	compactOffset galenastair.Offset
	// copyEnd is the end of the topic when it was first listed after a restore of the store.
	copyEnd galenastair.Offset
}

// entry is the registration of one backend server. Its offsets are those of the records that
// made the change.
type entry struct {
	server              pool.Server
	createdAt           galenastair.Offset
	attributesChangedAt galenastair.Offset
	// lastChangedAt is the offset of the last change of any kind.
	lastChangedAt galenastair.Offset
	// addedAt has the models and adapters that are present, by qualified name, and removedAt
	// those that were removed.
	addedAt   map[galenastair.ModelName]galenastair.Offset
	removedAt map[galenastair.ModelName]galenastair.Offset
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[galenastair.BackendServerID]*entry{}, tombstones: map[galenastair.BackendServerID]galenastair.Offset{}}
}

// Set applies a record that contains a registration, and returns the resulting registration.
func (t *Table) Set(at galenastair.Offset, s pool.Server) pool.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.upsert(at, s)
	present := map[galenastair.ModelName]bool{}
	for _, name := range qualifiedNames(s.Models) {
		present[name] = true
		e.add(at, name)
	}
	for name := range e.addedAt {
		if !present[name] {
			e.remove(at, name)
		}
	}
	return e.server
}

// upsert creates the entry of a server or updates its attributes, and returns it. If the server
// has restarted, its entry is replaced by one without models. The caller holds t.mu.
//
// A registration of a restored store does not say that a process leaves if the copy was older. The time at
// which it ends is kept if a registration has none: an instance of an earlier release does not pass it on.
func (t *Table) upsert(at galenastair.Offset, s pool.Server) *entry {
	e := t.entries[s.ID]
	if e != nil && e.server.Incarnation == s.Incarnation {
		s.Leaving = s.Leaving || e.server.Leaving && at < t.copyEnd
		if s.Leaving && s.GoneAt.IsZero() {
			s.GoneAt = e.server.GoneAt
		}
	}
	switch {
	case e == nil || e.server.Incarnation != s.Incarnation:
		e = &entry{createdAt: at, attributesChangedAt: at, lastChangedAt: at, addedAt: map[galenastair.ModelName]galenastair.Offset{}, removedAt: map[galenastair.ModelName]galenastair.Offset{}}
		t.entries[s.ID] = e
		delete(t.tombstones, s.ID)
	case !sameAttributes(e.server, s):
		e.attributesChangedAt, e.lastChangedAt = at, max(e.lastChangedAt, at)
	default:
		// the value that the other instances have, so that small differences do not add up
		s.GoneAt = e.server.GoneAt
	}
	e.server = s
	return e
}

func (e *entry) add(at galenastair.Offset, name galenastair.ModelName) {
	if _, present := e.addedAt[name]; !present {
		e.addedAt[name], e.lastChangedAt = at, max(e.lastChangedAt, at)
		delete(e.removedAt, name)
	}
}

func (e *entry) remove(at galenastair.Offset, name galenastair.ModelName) {
	if _, present := e.addedAt[name]; present {
		delete(e.addedAt, name)
		e.removedAt[name], e.lastChangedAt = at, max(e.lastChangedAt, at)
	}
}

// BeginSnapshot prepares for the records of a listing that ends at next.
func (t *Table) BeginSnapshot(next galenastair.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if next.Timeline() > t.next.Timeline() {
		t.copyEnd = next
	}
}

// Remove deletes the registration of a server. The offset is that of the record that removes
// it, or the end of the topic if that record is not known.
func (t *Table) Remove(at galenastair.Offset, id galenastair.BackendServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, present := t.entries[id]; present {
		delete(t.entries, id)
		t.tombstones[id] = max(at, t.next)
	}
}

// AdvanceTo records that all records before next have been applied. A snapshot has only the
// newest record of each key: after the first one, and after one of a topic that ends earlier than
// before, removals before next are not known.
func (t *Table) AdvanceTo(next galenastair.Offset, snapshot bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if snapshot && (t.next == 0 || next < t.next) {
		t.compactOffset, t.next = next, next
	}
	t.next = max(t.next, next)
	if t.next-t.compactOffset > 2*tombstoneRetention {
		t.compact(t.next - tombstoneRetention)
	}
}

// compact discards the removals before an offset.
func (t *Table) compact(offset galenastair.Offset) {
	t.compactOffset = offset
	deleteBefore(t.tombstones, offset)
	for _, e := range t.entries {
		deleteBefore(e.removedAt, offset)
	}
}

func deleteBefore[K comparable](removedAt map[K]galenastair.Offset, offset galenastair.Offset) {
	for k, at := range removedAt {
		if at < offset {
			delete(removedAt, k)
		}
	}
}

// Since returns the changes made by the records from an offset on, and the offset after the
// last of these records. It returns false if some removals since from have been discarded.
func (t *Table) Since(from galenastair.Offset) ([]Change, galenastair.Offset, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from < t.compactOffset {
		return nil, t.next, false
	}
	var out []Change
	for id, at := range t.tombstones {
		if at >= from {
			out = append(out, Change{ID: id, Deleted: true})
		}
	}
	for id, e := range t.entries {
		if e.lastChangedAt < from {
			continue
		}
		if c, changed := e.changeSince(id, from); changed {
			out = append(out, c)
		}
	}
	return out, t.next, true
}

func (e *entry) changeSince(id galenastair.BackendServerID, from galenastair.Offset) (Change, bool) {
	c := Change{ID: id, Heartbeat: e.server.Heartbeat, Created: e.createdAt >= from}
	if e.attributesChangedAt >= from {
		s := e.server
		c.Attributes = &s
	}
	for name, at := range e.addedAt {
		if at >= from {
			c.Added = append(c.Added, name)
		}
	}
	for name, at := range e.removedAt {
		if at >= from {
			c.Removed = append(c.Removed, name)
		}
	}
	return c, c.Attributes != nil || len(c.Added)+len(c.Removed) > 0
}

// Apply applies a change that another instance has sent for the records before next, and
// returns the resulting registration. It returns false if the server is unknown.
func (t *Table) Apply(c Change, next galenastair.Offset) (pool.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := next - 1
	if c.Created {
		delete(t.entries, c.ID)
	}
	e := t.entries[c.ID]
	if c.Attributes != nil {
		e = t.upsert(at, *c.Attributes)
	}
	if e == nil {
		return pool.Server{}, false
	}
	for _, name := range c.Removed {
		e.remove(at, name)
	}
	for _, name := range c.Added {
		e.add(at, name)
	}
	e.server.Heartbeat = max(e.server.Heartbeat, c.Heartbeat)
	e.server.Models = modelsFromNames(e.addedAt)
	return e.server, true
}
