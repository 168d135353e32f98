package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"galenastair"
)

// append adds a record to the log, loses it, or lets it come late.
func (w *world) append(rec galenastair.Record) {
	switch {
	case w.logDown || w.draw(10) == 0:
	case w.draw(6) == 0:
		w.late = append(w.late, rec)
	default:
		w.log = append(w.log, logged{rec, w.leader})
	}
}

func (w *world) fold(in *instance) {
	if w.draw(2) == 0 {
		in.held = slices.DeleteFunc(in.held, func(f *flight) bool { return f.answered && in.ledger.orders[f.order.ID] == nil })
	}
	for n := 1 + w.draw(12); n > 0 && in.folded < len(w.log); n-- {
		rec := w.log[in.folded]
		in.folded++
		verdict := in.ledger.Apply(w.now, rec.rec, rec.leader)
		if verdict != Valid || rec.rec.Kind != KindIssued {
			continue
		}
		body, _ := decode[Issued](rec.rec)
		for _, f := range in.held {
			f.read = f.read || body.Order.ID == f.order.ID
		}
	}
}

// look asks an engine itself; it may answer with a report some seconds old.
func (w *world) look(in *instance) {
	e := w.engines[w.draw(len(w.engines))]
	p := e.past[w.draw(len(e.past))]
	in.ledger.Report(p.at, p.report)
}

// issue decides on an order; only an instance that has folded its own leadership does.
func (w *world) issue(in *instance) {
	if !in.leads() {
		return
	}
	e := w.engines[w.draw(len(w.engines))]
	w.orders++
	size := galenastair.Bytes(2 + w.draw(4))
	o := galenastair.Order{
		ID:            galenastair.OrderID(fmt.Sprint("o", w.orders)),
		Fence:         in.ledger.leader.Fence,
		BackendServer: e.id,
		Kind:          galenastair.LoadModel,
		Weight:        galenastair.Weight{Name: galenastair.ModelName(fmt.Sprint("m", size)), Memory: size},
	}
	if a := in.ledger.accounts[e.id]; a != nil && len(a.report.Loaded) > 0 && w.draw(2) == 0 {
		o.Kind = galenastair.UnloadModel
		o.Weight = a.report.Loaded[w.draw(len(a.report.Loaded))].Weight
	}
	for _, f := range in.held {
		if f.order.BackendServer != e.id || f.read || f.givenUp {
			continue
		}
		if w.now.Sub(f.begun) < 3*time.Second {
			return // one unread order for a backend server at a time
		}
		f.givenUp = true // it may still come up in the log, but is never sent
	}
	if e.checks && !in.ledger.Raised(e.id, o.Fence) {
		o.Kind, o.Weight = galenastair.UnloadModel, galenastair.Weight{Name: "none"}
		w.flights = append(w.flights, &flight{begun: w.now, order: o, read: true, sent: true})
		return
	}
	if !in.ledger.Fits(o) {
		return
	}
	f := &flight{begun: w.now, order: o, unrecorded: e.checks, read: e.checks}
	if w.draw(4) == 0 {
		f.paused = w.now.Add(time.Duration(w.draw(40)) * time.Second)
	}
	in.held = append(in.held, f)
	if f.unrecorded {
		in.ledger.Expect(w.now, o)
		return
	}
	body, _ := json.Marshal(Issued{Order: o})
	w.append(galenastair.Record{Kind: KindIssued, Author: string(in.id), Body: body})
}

// send lets an issuer send an order that it read back as valid. Whether it still
// leads does not matter: it may have been paused right after it looked.
func (w *world) send() {
	for _, f := range w.held() {
		if !f.read || f.sent || f.givenUp || w.now.Before(f.paused) || (!f.last.IsZero() && !w.now.Before(f.last)) {
			continue
		}
		f.sent = true
		w.flights = append(w.flights, f)
		return
	}
}

// held returns the orders of all instances, from a drawn one on.
func (w *world) held() []*flight {
	var out []*flight
	first := w.draw(len(w.instances))
	for i := range w.instances {
		out = append(out, w.instances[(first+i)%len(w.instances)].held...)
	}
	return out
}

// arrive lets an order on its way reach its engine, late or never.
func (w *world) arrive() {
	if len(w.flights) == 0 {
		return
	}
	i := w.draw(len(w.flights))
	f := w.flights[i]
	old := f.unrecorded && w.now.Sub(f.begun) > modelLife // the bound that Life states
	if old || !f.last.IsZero() && !w.now.Before(f.last) || w.draw(8) == 0 {
		w.flights = slices.Delete(w.flights, i, i+1)
		return
	}
	w.flights = slices.Delete(w.flights, i, i+1)
	for _, e := range w.engines {
		if e.id == f.order.BackendServer {
			e.act(f.order)
		}
	}
	w.arrived++
	f.answered = w.draw(4) > 0
}

// settle appends what an instance knows to be dead.
func (w *world) settle(in *instance) {
	if !in.leads() {
		return
	}
	for _, f := range in.held {
		if !f.sent && f.paused.Before(w.now) && w.draw(8) == 0 {
			f.givenUp = true
		}
		e := in.ledger.orders[f.order.ID]
		if f.unrecorded {
			f.end(w.now, in.ledger)
			continue
		}
		if e == nil || !e.settled.IsZero() || !e.superseded.IsZero() || !f.answered && !f.givenUp {
			continue
		}
		w.appendSettled(in, Settled{f.order.ID, f.order.Fence, Answered})
	}
	for _, s := range in.ledger.Settleable(w.now) {
		w.appendSettled(in, s)
	}
}

// end tells the ledger of an unrecorded order's end as its issuer saw it.
func (f *flight) end(now time.Time, l *Ledger) {
	switch {
	case f.answered:
		l.End(now, f.order.ID, Answered)
	case f.givenUp && !f.sent:
		l.End(now, f.order.ID, NeverSent)
	}
}

func (w *world) appendSettled(in *instance, s Settled) {
	body, _ := json.Marshal(s)
	w.append(galenastair.Record{Kind: KindSettled, Author: string(in.id), Body: body})
}

// disturb changes the leader, the log or an instance.
func (w *world) disturb(in *instance) {
	switch w.draw(8) {
	case 6, 7:
		w.restart(in)
	case 0, 1:
		w.changeLeader(in)
	case 2:
		w.logDown = !w.logDown
	case 3:
		for _, rec := range w.late {
			w.log = append(w.log, logged{rec, w.leader})
		}
		w.late = nil
	case 4:
		w.restart(in)
	case 5:
		w.now = w.now.Add(modelLife / 2)
	}
}

func (w *world) changeLeader(in *instance) {
	if w.logDown || in.id == w.leader.ID {
		return
	}
	w.leader = Leader{in.id, w.leader.Fence + 1}
	w.log = append(w.log, logged{galenastair.Record{Kind: "MemberLapse"}, w.leader})
	for _, other := range w.instances {
		for _, f := range other.held {
			if f.last.IsZero() {
				f.last = w.now.Add(modelLife) // the bound on pauses that Life states
			}
		}
	}
}

// restart replaces an instance by a new process that starts from a peer's snapshot.
func (w *world) restart(in *instance) {
	if in.id == w.leader.ID {
		return
	}
	peer := w.instances[w.draw(len(w.instances))]
	raw, err := peer.ledger.Snapshot()
	if err != nil || peer == in {
		return
	}
	in.folded, in.ledger, in.held = peer.folded, New(modelLife), nil
	in.first = w.leader.Fence + 1
	if err := in.ledger.Restore(w.now, raw, peer.ledger.leader); err != nil {
		w.t.Fatal(err)
	}
}
