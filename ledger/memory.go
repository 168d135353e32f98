package ledger

import (
	"galenastair"
)

// weightKey tells weights apart that take memory side by side.
type weightKey struct {
	name    galenastair.ModelName
	version string
}

func keyOf(w galenastair.Weight) weightKey { return weightKey{w.Name, w.Version} }

// needs returns the largest memory that each weight on a backend server may take.
func (l *Ledger) needs(id galenastair.BackendServerID) map[weightKey]galenastair.Bytes {
	sum := map[weightKey]galenastair.Bytes{}
	count := func(w galenastair.Weight) { sum[keyOf(w)] = max(sum[keyOf(w)], w.Memory) }
	if a := l.accounts[id]; a != nil {
		for _, w := range a.report.Loaded {
			count(w.Weight)
		}
	}
	for _, e := range l.orders {
		if e.order.BackendServer == id && e.order.Kind == galenastair.LoadModel {
			count(e.order.Weight)
		}
	}
	return sum
}

// Known says whether the backend server's memory is known at all.
func (l *Ledger) Known(id galenastair.BackendServerID) bool {
	a := l.accounts[id]
	return a != nil && a.at.After(l.restored)
}

// Reserved returns the memory that is or may become taken.
func (l *Ledger) Reserved(id galenastair.BackendServerID) galenastair.Bytes {
	var sum galenastair.Bytes
	for _, m := range l.needs(id) {
		sum += m
	}
	return sum
}

// Free returns the memory that no order can take any more; it may be negative.
func (l *Ledger) Free(id galenastair.BackendServerID) galenastair.Bytes {
	if !l.Known(id) {
		return 0
	}
	return l.accounts[id].report.MemoryTotal - l.Reserved(id)
}

// Fits says whether an order keeps the backend server's memory within its total,
// whatever becomes of all other orders.
func (l *Ledger) Fits(o galenastair.Order) bool {
	if !l.Known(o.BackendServer) {
		return false
	}
	if o.Kind != galenastair.LoadModel {
		return true
	}
	needs := l.needs(o.BackendServer)
	k := keyOf(o.Weight)
	needs[k] = max(needs[k], o.Weight.Memory)
	var sum galenastair.Bytes
	for _, m := range needs {
		sum += m
	}
	return sum <= l.accounts[o.BackendServer].report.MemoryTotal
}
