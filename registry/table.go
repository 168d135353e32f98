package registry

import (
	"sync"

	"galenastair"
	"galenastair/pool"
)

// remembered is for how many records what was dropped is kept, to tell it to others. An
// instance further behind reads the store.
const remembered = 20_000

// Table is the registrations as one instance knows them.
type Table struct {
	mu      sync.Mutex
	entries map[galenastair.BackendServerID]*entry
	gone    map[galenastair.BackendServerID]galenastair.Offset
	// next is the offset behind the newest record taken in; what was dropped before floor
	// is not known.
	next  galenastair.Offset
	floor galenastair.Offset
}

type entry struct {
	server pool.Server
	// created and identity are when the server came and when its identity last changed.
	created  galenastair.Offset
	identity galenastair.Offset
	// last is when anything of it last changed.
	last    galenastair.Offset
	names   map[galenastair.ModelName]galenastair.Offset
	dropped map[galenastair.ModelName]galenastair.Offset
}

// NewTable returns a table without registrations.
func NewTable() *Table {
	return &Table{entries: map[galenastair.BackendServerID]*entry{}, gone: map[galenastair.BackendServerID]galenastair.Offset{}}
}

// Set takes in the registration of a record.
func (t *Table) Set(at galenastair.Offset, s pool.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryOf(at, s)
	named := map[galenastair.ModelName]bool{}
	for _, name := range namesOf(s.Models) {
		named[name] = true
		e.add(at, name)
	}
	for name := range e.names {
		if !named[name] {
			e.drop(at, name)
		}
	}
}

// entryOf returns the entry of a server with a new identity taken in; the lock is held. One
// that has started again holds nothing of before.
func (t *Table) entryOf(at galenastair.Offset, s pool.Server) *entry {
	e := t.entries[s.ID]
	if e == nil || e.server.Born != s.Born {
		e = &entry{created: at, identity: at, last: at, names: map[galenastair.ModelName]galenastair.Offset{}, dropped: map[galenastair.ModelName]galenastair.Offset{}}
		t.entries[s.ID] = e
		delete(t.gone, s.ID)
	} else if !sameIdentity(e.server, s) {
		e.identity, e.last = at, max(e.last, at)
	}
	e.server = s
	return e
}

func (e *entry) add(at galenastair.Offset, name galenastair.ModelName) {
	if _, there := e.names[name]; !there {
		e.names[name], e.last = at, max(e.last, at)
		delete(e.dropped, name)
	}
}

func (e *entry) drop(at galenastair.Offset, name galenastair.ModelName) {
	if _, there := e.names[name]; there {
		delete(e.names, name)
		e.dropped[name], e.last = at, max(e.last, at)
	}
}

// Remove forgets a server. The offset is that of the record that says so, or where the topic
// ends by now.
func (t *Table) Remove(at galenastair.Offset, id galenastair.BackendServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, there := t.entries[id]; there {
		delete(t.entries, id)
		t.gone[id] = max(at, t.next)
	}
}

// MoveTo says that all records before an offset are taken in. What was dropped before the
// first whole reading is not known.
func (t *Table) MoveTo(next galenastair.Offset, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if whole && (t.next == 0 || next < t.next) {
		t.floor, t.next = next, next
	}
	t.next = max(t.next, next)
	if t.next-t.floor > 2*remembered {
		t.forgetBefore(t.next - remembered)
	}
}

func (t *Table) forgetBefore(floor galenastair.Offset) {
	t.floor = floor
	forget(t.gone, floor)
	for _, e := range t.entries {
		forget(e.dropped, floor)
	}
}

func forget[K comparable](dropped map[K]galenastair.Offset, floor galenastair.Offset) {
	for k, at := range dropped {
		if at < floor {
			delete(dropped, k)
		}
	}
}

// Since returns what changed from an offset on, and the end to which that goes; false if
// some of it is not known here.
func (t *Table) Since(from galenastair.Offset) ([]Change, galenastair.Offset, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from < t.floor {
		return nil, t.next, false
	}
	var out []Change
	for id, at := range t.gone {
		if at >= from {
			out = append(out, Change{ID: id, Gone: true})
		}
	}
	for id, e := range t.entries {
		if e.last < from {
			continue
		}
		if c, changed := e.since(id, from); changed {
			out = append(out, c)
		}
	}
	return out, t.next, true
}

func (e *entry) since(id galenastair.BackendServerID, from galenastair.Offset) (Change, bool) {
	c := Change{ID: id, Beat: e.server.Beat, Fresh: e.created >= from}
	if e.identity >= from {
		s := e.server
		c.Identity = &s
	}
	for name, at := range e.names {
		if at >= from {
			c.Added = append(c.Added, name)
		}
	}
	for name, at := range e.dropped {
		if at >= from {
			c.Dropped = append(c.Dropped, name)
		}
	}
	return c, c.Identity != nil || len(c.Added)+len(c.Dropped) > 0
}

// Apply takes in what another instance told of the records before an offset, and returns
// the registration as it is now; false if the server is unknown here.
func (t *Table) Apply(c Change, next galenastair.Offset) (pool.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := next - 1
	if c.Fresh {
		delete(t.entries, c.ID)
	}
	e := t.entries[c.ID]
	if c.Identity != nil {
		e = t.entryOf(at, *c.Identity)
	}
	if e == nil {
		return pool.Server{}, false
	}
	for _, name := range c.Dropped {
		e.drop(at, name)
	}
	for _, name := range c.Added {
		e.add(at, name)
	}
	e.server.Beat = max(e.server.Beat, c.Beat)
	e.server.Models = modelsOf(e.names)
	return e.server, true
}
