package config

import "galenastair"

// recentLimit is how many record ids the fold remembers. A record comes twice
// only when its append was retried below us, within seconds; 1,024 records are
// over five hours at 4,500 changes a day. A copy that comes later still changes
// nothing: its base revision is gone, its key given or withdrawn already.
const recentLimit = 1024

// applied is one remembered record.
type applied struct {
	Record  galenastair.RecordID
	Offset  galenastair.Offset
	Outcome Outcome
}

// recent remembers the ids of the last records that were applied.
type recent struct {
	list []applied
	ids  map[galenastair.RecordID]applied
}

func newRecent() *recent {
	return &recent{ids: make(map[galenastair.RecordID]applied)}
}

func (r *recent) get(id galenastair.RecordID) (applied, bool) {
	a, found := r.ids[id]
	return a, found
}

// add remembers a record and returns the one that is forgotten for it, if any.
func (r *recent) add(a applied) (applied, bool) {
	r.list = append(r.list, a)
	r.ids[a.Record] = a
	if len(r.list) <= recentLimit {
		return applied{}, false
	}
	old := r.list[0]
	r.list = r.list[1:]
	delete(r.ids, old.Record)
	return old, true
}
