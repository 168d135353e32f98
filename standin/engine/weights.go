package engine

import (
	"slices"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/standin/journal"
)

var (
	errNoBase    = eris.New("the adapter's model is not loaded")
	errNotLoaded = eris.New("no such weight is loaded")
	errKind      = eris.New("no such kind of order")
	errNotMine   = eris.New("the order is for another backend server")
)

// keptFinished is how many finished orders a report names.
const keptFinished = 64

// Violation is one moment at which weights took more than the memory.
type Violation struct {
	Order galenastair.OrderID
	Used  galenastair.Bytes
	Total galenastair.Bytes
}

// weights are the models and adapters that take memory here.
type weights struct {
	total      galenastair.Bytes
	loaded     []galenastair.LoadedWeight
	finished   []galenastair.OrderID
	violations []Violation
	journal    *journal.Journal
	most       galenastair.Bytes
}

func (w *weights) used() galenastair.Bytes {
	var sum galenastair.Bytes
	for _, l := range w.loaded {
		sum += l.Weight.Memory
	}
	return sum
}

func (w *weights) find(name galenastair.ModelName, version string) *galenastair.LoadedWeight {
	for i := range w.loaded {
		if w.loaded[i].Weight.Name == name && w.loaded[i].Weight.Version == version {
			return &w.loaded[i]
		}
	}
	return nil
}

// ready says whether requests for a name can run, with its base if it has one.
func (w *weights) ready(name galenastair.ModelName) bool {
	for _, l := range w.loaded {
		if l.Weight.Name == name && l.State == galenastair.Ready {
			return l.Weight.Base == "" || w.ready(l.Weight.Base)
		}
	}
	return false
}

// load takes memory for a weight and says whether it must be fetched.
func (w *weights) load(o galenastair.Order) (fetch bool, err error) {
	if o.Weight.Base != "" && !w.has(o.Weight.Base) {
		return false, errNoBase
	}
	if l := w.find(o.Weight.Name, o.Weight.Version); l != nil && l.State != galenastair.Unloading {
		w.finish(o.ID)
		return false, nil
	}
	w.loaded = append(w.loaded, galenastair.LoadedWeight{Weight: o.Weight, State: galenastair.Loading, Order: o.ID})
	w.audit(o.ID)
	return true, nil
}

func (w *weights) has(name galenastair.ModelName) bool {
	return slices.ContainsFunc(w.loaded, func(l galenastair.LoadedWeight) bool { return l.Weight.Name == name })
}

// audit records memory that is overcommitted.
func (w *weights) audit(id galenastair.OrderID) {
	used := w.used()
	w.most = max(w.most, used)
	if used > w.total {
		w.violations = append(w.violations, Violation{Order: id, Used: used, Total: w.total})
		w.journal.Write(journal.Entry{Overcommitted: used - w.total})
	}
}

// fetched ends a load.
func (w *weights) fetched(id galenastair.OrderID, err error) {
	i := slices.IndexFunc(w.loaded, func(l galenastair.LoadedWeight) bool { return l.Order == id })
	if i >= 0 && err != nil {
		w.loaded = slices.Delete(w.loaded, i, i+1)
	}
	if i >= 0 && err == nil && w.loaded[i].State == galenastair.Loading {
		w.loaded[i].State = galenastair.Ready
	}
	w.finish(id)
}

// unload lets no new request in; the memory is free once none runs.
func (w *weights) unload(o galenastair.Order) error {
	l := w.find(o.Weight.Name, o.Weight.Version)
	if l == nil {
		return errNotLoaded
	}
	l.State = galenastair.Unloading
	l.Order = o.ID
	return nil
}

func (w *weights) finishUnloads(runs func(galenastair.ModelName) bool) {
	w.loaded = slices.DeleteFunc(w.loaded, func(l galenastair.LoadedWeight) bool {
		gone := l.State == galenastair.Unloading && !runs(l.Weight.Name)
		if gone {
			w.finish(l.Order)
		}
		return gone
	})
}

func (w *weights) finish(id galenastair.OrderID) {
	if slices.Contains(w.finished, id) {
		return
	}
	w.finished = append(w.finished, id)
	if len(w.finished) > keptFinished {
		w.finished = w.finished[1:]
	}
}
