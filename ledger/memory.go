package ledger

import (
	"galenastair"
)

// weightKey identifies a weight: two versions of one model take memory at the same time.
type weightKey struct {
	name    galenastair.ModelName
	version string
}

func weightKeyOf(w galenastair.ModelWeights) weightKey { return weightKey{w.Name, w.Version} }

// memoryByWeight returns the memory that each weight on a backend server takes or may take
// once all pending loads have arrived.
func (l *Ledger) memoryByWeight(id galenastair.BackendServerID) map[weightKey]galenastair.Bytes {
	sum := map[weightKey]galenastair.Bytes{}
	count := func(w galenastair.ModelWeights) { sum[weightKeyOf(w)] = max(sum[weightKeyOf(w)], w.Memory) }
	if obs := l.reports[id]; obs != nil {
		for _, w := range obs.report.Loaded {
			count(w.Weight)
		}
	}
	for _, p := range l.orders {
		if p.order.BackendServer == id && p.order.Kind == galenastair.LoadModel {
			count(p.order.Weight)
		}
	}
	return sum
}

// HasCurrentReport reports whether there is a report of the backend server that was taken
// after the last Restore.
func (l *Ledger) HasCurrentReport(id galenastair.BackendServerID) bool {
	obs := l.reports[id]
	return obs != nil && obs.takenAt.After(l.restoredAt)
}

// ReservedMemory returns the memory that loaded weights take and pending orders may take.
func (l *Ledger) ReservedMemory(id galenastair.BackendServerID) galenastair.Bytes {
	var sum galenastair.Bytes
	for _, m := range l.memoryByWeight(id) {
		sum += m
	}
	return sum
}

// FreeMemory returns the memory that is neither taken nor reserved. It is 0 without a
// current report, and may be negative.
func (l *Ledger) FreeMemory(id galenastair.BackendServerID) galenastair.Bytes {
	if !l.HasCurrentReport(id) {
		return 0
	}
	return l.reports[id].report.MemoryTotal - l.ReservedMemory(id)
}

// Fits reports whether an order keeps the backend server within its total memory,
// whichever of the other pending orders take effect.
func (l *Ledger) Fits(o galenastair.Order) bool {
	if !l.HasCurrentReport(o.BackendServer) {
		return false
	}
	if o.Kind != galenastair.LoadModel {
		return true
	}
	needs := l.memoryByWeight(o.BackendServer)
	k := weightKeyOf(o.Weight)
	needs[k] = max(needs[k], o.Weight.Memory)
	var sum galenastair.Bytes
	for _, m := range needs {
		sum += m
	}
	return sum <= l.reports[o.BackendServer].report.MemoryTotal
}
