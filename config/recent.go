package config

import "galenastair"

// maxRecentRecords is the number of record IDs kept to detect duplicates. Duplicates occur
// only when a lower layer retries an append, which happens within seconds; 1,024 records
// cover more than five hours at 4,500 changes a day. A later duplicate has no effect
// either, because its base revision is outdated or its key was already given or withdrawn.
const maxRecentRecords = 1024

// appliedRecord is the ID, offset and outcome of an applied record.
type appliedRecord struct {
	Record  galenastair.RecordID
	Offset  galenastair.Offset
	Outcome Outcome
}

// recentRecords holds the records that were applied last, by ID.
type recentRecords struct {
	list []appliedRecord
	byID map[galenastair.RecordID]appliedRecord
}

func newRecentRecords() *recentRecords {
	return &recentRecords{byID: make(map[galenastair.RecordID]appliedRecord)}
}

func (r *recentRecords) get(id galenastair.RecordID) (appliedRecord, bool) {
	a, found := r.byID[id]
	return a, found
}

// add adds a record and returns the record that was evicted for it, if any.
func (r *recentRecords) add(a appliedRecord) (appliedRecord, bool) {
	r.list = append(r.list, a)
	r.byID[a.Record] = a
	if len(r.list) <= maxRecentRecords {
		return appliedRecord{}, false
	}
	old := r.list[0]
	r.list = r.list[1:]
	delete(r.byID, old.Record)
	return old, true
}
