package engine

import (
	"slices"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/standin/journal"
)

var (
	errBaseNotLoaded = eris.New("the adapter's model is not loaded")
	errNotFound      = eris.New("no such weight is loaded")
	errUnknownKind   = eris.New("no such kind of order")
	errWrongServer   = eris.New("the order is for another backend server")
)

// maxFinishedOrders is the number of finished orders that a report lists.
const maxFinishedOrders = 64

// Violation records that the loaded weights exceeded the memory.
type Violation struct {
	Order galenastair.OrderID
	Used  galenastair.Bytes
	Total galenastair.Bytes
}

// weights holds the models and adapters that occupy memory. Engine.mu guards it.
type weights struct {
	total      galenastair.Bytes
	loaded     []galenastair.LoadedWeights
	finished   []galenastair.OrderID
	violations []Violation
	journal    *journal.Journal
	peak       galenastair.Bytes
}

func (w *weights) used() galenastair.Bytes {
	var sum galenastair.Bytes
	for _, l := range w.loaded {
		sum += l.Weight.Memory
	}
	return sum
}

func (w *weights) find(name galenastair.ModelName, version string) *galenastair.LoadedWeights {
	for i := range w.loaded {
		if w.loaded[i].Weight.Name == name && w.loaded[i].Weight.Version == version {
			return &w.loaded[i]
		}
	}
	return nil
}

// isReady reports whether requests for a model or adapter can run. An adapter also needs
// its base model to be ready.
func (w *weights) isReady(name galenastair.ModelName) bool {
	for _, l := range w.loaded {
		if l.Weight.Name == name && l.State == galenastair.LoadStateReady {
			return l.Weight.Base == "" || w.isReady(l.Weight.Base)
		}
	}
	return false
}

// load reserves memory for a weight and reports whether it has to be fetched.
func (w *weights) load(o galenastair.Order) (fetch bool, err error) {
	if o.Weight.Base != "" && !w.contains(o.Weight.Base) {
		return false, errBaseNotLoaded
	}
	if l := w.find(o.Weight.Name, o.Weight.Version); l != nil && l.State != galenastair.LoadStateUnloading {
		w.recordFinished(o.ID)
		return false, nil
	}
	w.loaded = append(w.loaded, galenastair.LoadedWeights{Weight: o.Weight, State: galenastair.LoadStateLoading, Order: o.ID})
	w.checkOvercommit(o.ID)
	return true, nil
}

func (w *weights) contains(name galenastair.ModelName) bool {
	return slices.ContainsFunc(w.loaded, func(l galenastair.LoadedWeights) bool { return l.Weight.Name == name })
}

// checkOvercommit updates the peak of used memory and records a violation if it exceeds
// the total.
func (w *weights) checkOvercommit(id galenastair.OrderID) {
	used := w.used()
	w.peak = max(w.peak, used)
	if used > w.total {
		w.violations = append(w.violations, Violation{Order: id, Used: used, Total: w.total})
		w.journal.Write(journal.Entry{Overcommitted: used - w.total})
	}
}

// finishLoad marks the weight of an order as ready, or removes it if the fetch failed.
func (w *weights) finishLoad(id galenastair.OrderID, err error) {
	i := slices.IndexFunc(w.loaded, func(l galenastair.LoadedWeights) bool { return l.Order == id })
	if i >= 0 && err != nil {
		w.loaded = slices.Delete(w.loaded, i, i+1)
	}
	if i >= 0 && err == nil && w.loaded[i].State == galenastair.LoadStateLoading {
		w.loaded[i].State = galenastair.LoadStateReady
	}
	w.recordFinished(id)
}

// unload stops admitting requests for a weight. finishUnloads frees the memory once no
// request for it is running.
func (w *weights) unload(o galenastair.Order) error {
	l := w.find(o.Weight.Name, o.Weight.Version)
	if l == nil {
		return errNotFound
	}
	l.State = galenastair.LoadStateUnloading
	l.Order = o.ID
	return nil
}

func (w *weights) finishUnloads(runs func(galenastair.ModelName) bool) {
	w.loaded = slices.DeleteFunc(w.loaded, func(l galenastair.LoadedWeights) bool {
		gone := l.State == galenastair.LoadStateUnloading && !runs(l.Weight.Name)
		if gone {
			w.recordFinished(l.Order)
		}
		return gone
	})
}

func (w *weights) recordFinished(id galenastair.OrderID) {
	if slices.Contains(w.finished, id) {
		return
	}
	w.finished = append(w.finished, id)
	if len(w.finished) > maxFinishedOrders {
		w.finished = w.finished[1:]
	}
}
