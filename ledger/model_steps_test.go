package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"galenastair"
)

// append adds a record to the log, drops it or delays it.
func (sim *simulation) append(rec galenastair.Record) {
	switch {
	case sim.logDown || sim.randN(10) == 0:
	case sim.randN(6) == 0:
		sim.delayed = append(sim.delayed, rec)
	default:
		sim.log = append(sim.log, logEntry{rec, sim.leader})
	}
}

func (sim *simulation) applyRecords(in *instance) {
	if sim.randN(2) == 0 {
		in.issued = slices.DeleteFunc(in.issued, func(so *simOrder) bool { return so.answered && in.ledger.orders[so.order.ID] == nil })
	}
	for n := 1 + sim.randN(12); n > 0 && in.applied < len(sim.log); n-- {
		rec := sim.log[in.applied]
		in.applied++
		result := in.ledger.Apply(sim.now, rec.rec, rec.leader)
		if result != Applied || rec.rec.Kind != KindIssued {
			continue
		}
		body, _ := decode[Issued](rec.rec)
		for _, so := range in.issued {
			so.readBack = so.readBack || body.Order.ID == so.order.ID
		}
	}
}

// fetchReport applies a report of a random engine that may be some seconds old.
func (sim *simulation) fetchReport(in *instance) {
	e := sim.engines[sim.randN(len(sim.engines))]
	r := e.reports[sim.randN(len(e.reports))]
	in.ledger.ApplyReport(r.takenAt, r.report)
}

// issue creates an order if the instance has read in the log that it is the leader.
func (sim *simulation) issue(in *instance) {
	if !in.leads() {
		return
	}
	e := sim.engines[sim.randN(len(sim.engines))]
	sim.orderCount++
	size := galenastair.Bytes(2 + sim.randN(4))
	o := galenastair.Order{
		ID:            galenastair.OrderID(fmt.Sprint("o", sim.orderCount)),
		Fence:         in.ledger.leader.Fence,
		BackendServer: e.id,
		Kind:          galenastair.LoadModel,
		Weight:        galenastair.ModelWeights{Name: galenastair.ModelName(fmt.Sprint("m", size)), Memory: size},
	}
	if obs := in.ledger.reports[e.id]; obs != nil && len(obs.report.Loaded) > 0 && sim.randN(2) == 0 {
		o.Kind = galenastair.UnloadModel
		o.Weight = obs.report.Loaded[sim.randN(len(obs.report.Loaded))].Weight
	}
	for _, so := range in.issued {
		if so.order.BackendServer != e.id || so.readBack || so.abandoned {
			continue
		}
		if sim.now.Sub(so.createdAt) < 3*time.Second {
			return // one order per backend server that is not read back yet
		}
		so.abandoned = true // its record may still appear in the log, but it is never sent
	}
	if e.checksFence && !in.ledger.FenceConfirmed(e.id, o.Fence) {
		o.Kind, o.Weight = galenastair.UnloadModel, galenastair.ModelWeights{Name: "none"}
		sim.inFlight = append(sim.inFlight, &simOrder{createdAt: sim.now, order: o, readBack: true, sent: true})
		return
	}
	if !in.ledger.Fits(o) {
		return
	}
	so := &simOrder{createdAt: sim.now, order: o, unrecorded: e.checksFence, readBack: e.checksFence}
	if sim.randN(4) == 0 {
		so.pausedUntil = sim.now.Add(time.Duration(sim.randN(40)) * time.Second)
	}
	in.issued = append(in.issued, so)
	if so.unrecorded {
		in.ledger.AddUnrecorded(sim.now, o)
		return
	}
	body, _ := json.Marshal(Issued{Order: o})
	sim.append(galenastair.Record{Kind: KindIssued, Author: string(in.id), Body: body})
}

// send sends an order that its issuer has read back as valid. The issuer need not lead any
// more, since it may have been paused right after its lease check.
func (sim *simulation) send() {
	for _, so := range sim.issuedOrders() {
		if !so.readBack || so.sent || so.abandoned || sim.now.Before(so.pausedUntil) || (!so.sendBefore.IsZero() && !sim.now.Before(so.sendBefore)) {
			continue
		}
		so.sent = true
		sim.inFlight = append(sim.inFlight, so)
		return
	}
}

// issuedOrders returns the orders of all instances, beginning with a random instance.
func (sim *simulation) issuedOrders() []*simOrder {
	var out []*simOrder
	first := sim.randN(len(sim.instances))
	for i := range sim.instances {
		out = append(out, sim.instances[(first+i)%len(sim.instances)].issued...)
	}
	return out
}

// deliver removes a random order from those in flight and applies it at its engine or drops it.
func (sim *simulation) deliver() {
	if len(sim.inFlight) == 0 {
		return
	}
	i := sim.randN(len(sim.inFlight))
	so := sim.inFlight[i]
	expired := so.unrecorded && sim.now.Sub(so.createdAt) > simOrderLifetime // orders arrive within their lifetime
	if expired || !so.sendBefore.IsZero() && !sim.now.Before(so.sendBefore) || sim.randN(8) == 0 {
		sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
		return
	}
	sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	for _, e := range sim.engines {
		if e.id == so.order.BackendServer {
			e.apply(so.order)
		}
	}
	sim.delivered++
	so.answered = sim.randN(4) > 0
}

// settle appends settlements for orders that the instance knows can no longer arrive.
func (sim *simulation) settle(in *instance) {
	if !in.leads() {
		return
	}
	for _, so := range in.issued {
		if !so.sent && so.pausedUntil.Before(sim.now) && sim.randN(8) == 0 {
			so.abandoned = true
		}
		e := in.ledger.orders[so.order.ID]
		if so.unrecorded {
			so.end(sim.now, in.ledger)
			continue
		}
		if e == nil || !e.settledAt.IsZero() || !e.supersededAt.IsZero() || !so.answered && !so.abandoned {
			continue
		}
		sim.appendSettled(in, Settled{so.order.ID, so.order.Fence, Answered})
	}
	for _, s := range in.ledger.SettleableOrders(sim.now) {
		sim.appendSettled(in, s)
	}
}

// end ends an unrecorded order in the ledger of its issuer.
func (so *simOrder) end(now time.Time, l *Ledger) {
	switch {
	case so.answered:
		l.EndUnrecorded(now, so.order.ID, Answered)
	case so.abandoned && !so.sent:
		l.EndUnrecorded(now, so.order.ID, NeverSent)
	}
}

func (sim *simulation) appendSettled(in *instance, s Settled) {
	body, _ := json.Marshal(s)
	sim.append(galenastair.Record{Kind: KindSettled, Author: string(in.id), Body: body})
}

// injectFault restarts an instance, changes the leader, toggles the log outage, appends the
// delayed records or advances the clock by half the order lifetime.
func (sim *simulation) injectFault(in *instance) {
	switch sim.randN(8) {
	case 6, 7:
		sim.restart(in)
	case 0, 1:
		sim.changeLeader(in)
	case 2:
		sim.logDown = !sim.logDown
	case 3:
		for _, rec := range sim.delayed {
			sim.log = append(sim.log, logEntry{rec, sim.leader})
		}
		sim.delayed = nil
	case 4:
		sim.restart(in)
	case 5:
		sim.now = sim.now.Add(simOrderLifetime / 2)
	}
}

func (sim *simulation) changeLeader(in *instance) {
	if sim.logDown || in.id == sim.leader.ID {
		return
	}
	sim.leader = Leader{in.id, sim.leader.Fence + 1}
	sim.log = append(sim.log, logEntry{galenastair.Record{Kind: "MemberLapse"}, sim.leader})
	for _, other := range sim.instances {
		for _, so := range other.issued {
			if so.sendBefore.IsZero() {
				so.sendBefore = sim.now.Add(simOrderLifetime) // longer pauses are not covered
			}
		}
	}
}

// restart replaces an instance with a new process that restores a peer's snapshot.
func (sim *simulation) restart(in *instance) {
	if in.id == sim.leader.ID {
		return
	}
	peer := sim.instances[sim.randN(len(sim.instances))]
	raw, err := peer.ledger.Snapshot()
	if err != nil || peer == in {
		return
	}
	in.applied, in.ledger, in.issued = peer.applied, New(simOrderLifetime), nil
	in.minFence = sim.leader.Fence + 1
	if err := in.ledger.Restore(sim.now, raw, peer.ledger.leader); err != nil {
		sim.t.Fatal(err)
	}
}
