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
		notRun(w, http.StatusBadRequest, err)
		return
	}
	sw, _ := e.board()
	if sw.LoseOrders {
		panic(http.ErrAbortHandler)
	}
	if sw.OrderDelay > 0 {
		// a late order acts even after its sender has given up
		time.Sleep(sw.OrderDelay)
	}
	err := e.act(o)
	if sw.LoseOrderAnswers {
		panic(http.ErrAbortHandler)
	}
	switch {
	case errors.Is(err, galenastair.ErrStaleFence):
		w.Header().Set(wire.HeaderOutcome, wire.OutcomeStaleFence)
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		notRun(w, http.StatusConflict, err)
	default:
		writeJSON(w, struct{}{})
	}
}

// act carries out one order.
func (e *Engine) act(o galenastair.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.BackendServer != e.id {
		return errNotMine
	}
	if e.settings.ChecksFence && o.Fence < e.fence {
		return eris.Wrapf(galenastair.ErrStaleFence, "%d before %d", o.Fence, e.fence)
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case galenastair.LoadModel:
		fetch, err := e.weights.load(o)
		if fetch {
			go e.fetch(o)
		}
		return err
	case galenastair.UnloadModel:
		return e.weights.unload(o)
	case galenastair.ChangeRole:
		e.role = o.EngineRole
		e.weights.finish(o.ID)
		return nil
	}
	return errKind
}

// fetch loads a weight; it goes on whatever becomes of the order's sender.
func (e *Engine) fetch(o galenastair.Order) {
	err := e.settings.Load(context.Background(), o.Weight)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights.fetched(o.ID, err)
}

type timedReport struct {
	galenastair.EngineReport
	at time.Time
}

// reportsKept is how many reports lie within the lag.
const reportsKept = 8

// report returns the youngest report that is as old as the lag, or the oldest there is.
func (e *Engine) report(now time.Time) galenastair.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keepReport(now)
	r := e.reports[0].EngineReport
	r.Age = now.Sub(e.reports[0].at)
	return r
}

// keepReport notes the state of now for readers after the lag.
func (e *Engine) keepReport(now time.Time) {
	n := len(e.reports)
	if n == 0 || now.Sub(e.reports[n-1].at) >= e.settings.ReportLag/reportsKept {
		e.reports = append(e.reports, timedReport{e.snapshot(), now})
	}
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.settings.ReportLag {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) snapshot() galenastair.EngineReport {
	return galenastair.EngineReport{
		BackendServer: e.id,
		MemoryTotal:   e.weights.total,
		MemoryUsed:    e.weights.used(),
		Running:       len(e.batch.running),
		Waiting:       len(e.batch.waiting),
		CacheUsed:     galenastair.Bytes(e.cache.running+e.cache.held) * e.settings.BytesPerToken,
		HighestFence:  e.fence,
		ChecksFence:   e.settings.ChecksFence,
		FinishedOrder: append([]galenastair.OrderID(nil), e.weights.finished...),
		Loaded:        append([]galenastair.LoadedWeight(nil), e.weights.loaded...),
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
	events := e.cache.after(after, time.Now().Add(-e.settings.EventLag))
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
	case t.Kind == wire.ExportCache && e.cache.holds(key):
		t.Tokens = e.cache.prefixes[key]
	default:
		notRun(w, http.StatusConflict, errNotLoaded)
		return
	}
	writeJSON(w, t)
}

// ViolationsAnswer tells whether memory was ever overcommitted.
type ViolationsAnswer struct {
	Violations []Violation
	MostUsed   galenastair.Bytes
	Total      galenastair.Bytes
}

func (e *Engine) getViolations(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	a := ViolationsAnswer{e.weights.violations, e.weights.most, e.weights.total}
	e.mu.Unlock()
	writeJSON(w, a)
}

func (e *Engine) getRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.runs.answer()) }

func (e *Engine) getSwitches(w http.ResponseWriter, _ *http.Request) {
	sw, _ := e.board()
	writeJSON(w, sw)
}

func (e *Engine) postSwitches(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	changed, _ := e.board()
	if err := d.Decode(&changed); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Switch(func(sw *Switches) { *sw = changed })
	writeJSON(w, changed)
}
