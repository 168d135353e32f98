package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	wire "galenastair/engine"
)

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o galenastair.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rejectNotRun(w, http.StatusBadRequest, err)
		return
	}
	faults, _ := e.currentFaults()
	if faults.LoseOrders {
		panic(http.ErrAbortHandler)
	}
	if faults.OrderDelay > 0 {
		// The sleep ignores the request's context: a delayed order takes effect even after
		// its sender has timed out.
		time.Sleep(faults.OrderDelay)
	}
	err := e.applyOrder(o)
	if faults.LoseOrderAnswers {
		panic(http.ErrAbortHandler)
	}
	switch {
	case errors.Is(err, galenastair.ErrStaleFence):
		w.Header().Set(wire.HeaderOutcome, wire.OutcomeStaleFence)
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		rejectNotRun(w, http.StatusConflict, err)
	default:
		writeJSON(w, struct{}{})
	}
}

// applyOrder executes an order.
func (e *Engine) applyOrder(o galenastair.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.BackendServer != e.id {
		return errWrongServer
	}
	if e.settings.ChecksFence && o.Fence < e.fence {
		return eris.Wrapf(galenastair.ErrStaleFence, "%d before %d", o.Fence, e.fence)
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case galenastair.LoadModel:
		fetch, err := e.weights.load(o)
		if fetch {
			go e.fetchWeight(o)
		}
		return err
	case galenastair.UnloadModel:
		return e.weights.unload(o)
	case galenastair.ChangeRole:
		e.role = o.EngineRole
		e.weights.recordFinished(o.ID)
		return nil
	}
	return errUnknownKind
}

// fetchWeight loads a weight. It continues if the sender of the order disconnects.
func (e *Engine) fetchWeight(o galenastair.Order) {
	err := e.settings.Load(context.Background(), o.Weight)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights.finishLoad(o.ID, err)
}

type timedReport struct {
	galenastair.EngineReport
	at time.Time
}

// reportsPerLag is the number of reports recorded within ReportLag.
const reportsPerLag = 8

// report returns the newest report that is at least ReportLag old, or the oldest one if
// none is.
func (e *Engine) report(now time.Time) galenastair.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordReport(now)
	r := e.reports[0].EngineReport
	r.Age = now.Sub(e.reports[0].at)
	return r
}

// recordReport records the current state, to be returned once ReportLag has passed.
func (e *Engine) recordReport(now time.Time) {
	n := len(e.reports)
	if n == 0 || now.Sub(e.reports[n-1].at) >= e.settings.ReportLag/reportsPerLag {
		e.reports = append(e.reports, timedReport{e.snapshot(), now})
	}
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.settings.ReportLag {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) snapshot() galenastair.EngineReport {
	return galenastair.EngineReport{
		BackendServer:  e.id,
		MemoryTotal:    e.weights.total,
		MemoryUsed:     e.weights.used(),
		Running:        len(e.batch.running),
		Waiting:        len(e.batch.waiting),
		CacheUsed:      galenastair.Bytes(e.cache.reservedTokens+e.cache.cachedTokens) * e.settings.BytesPerToken,
		HighestFence:   e.fence,
		ChecksFence:    e.settings.ChecksFence,
		FinishedOrders: append([]galenastair.OrderID(nil), e.weights.finished...),
		Loaded:         append([]galenastair.LoadedWeights(nil), e.weights.loaded...),
	}
}

func (e *Engine) getReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.report(time.Now()))
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(after, time.Now().Add(-e.settings.EventLag))
	e.mu.Unlock()
	writeJSON(w, wire.EventsResponse{Events: events})
}

func (e *Engine) postTransfer(w http.ResponseWriter, r *http.Request) {
	var t wire.CacheTransfer
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	key := prefixKey{t.Model, t.Prefix}
	switch {
	case t.Kind == wire.ImportCache && e.cache.fits(t.Tokens):
		e.cache.insert(time.Now(), key, t.Tokens)
	case t.Kind == wire.ExportCache && e.cache.contains(key):
		t.Tokens = e.cache.prefixes[key]
	default:
		rejectNotRun(w, http.StatusConflict, errNotFound)
		return
	}
	writeJSON(w, t)
}

// ViolationsResponse lists memory violations and gives the peak of used memory.
type ViolationsResponse struct {
	Violations []Violation
	MostUsed   galenastair.Bytes
	Total      galenastair.Bytes
}

func (e *Engine) getViolations(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	a := ViolationsResponse{e.weights.violations, e.weights.peak, e.weights.total}
	e.mu.Unlock()
	writeJSON(w, a)
}

func (e *Engine) getRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.runs.response()) }

func (e *Engine) getFaults(w http.ResponseWriter, _ *http.Request) {
	faults, _ := e.currentFaults()
	writeJSON(w, faults)
}

func (e *Engine) postFaults(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	changed, _ := e.currentFaults()
	if err := d.Decode(&changed); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.UpdateFaults(func(faults *Faults) { *faults = changed })
	writeJSON(w, changed)
}
