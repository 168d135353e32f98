package place

import "galenastair"

// waitReason is what a model without a ready copy waits for.
type waitReason string

const (
	// waitsForLoad: a copy is ordered or loading.
	waitsForLoad waitReason = "Loading"
	// waitsForUnload: copies of other models are being unloaded to make room.
	waitsForUnload waitReason = "MakingRoom"
	// waitsForStore: the limits of the weight store are reached.
	waitsForStore waitReason = "Paced"
	// waitsForRoom: no backend server that accepts orders has room.
	waitsForRoom waitReason = "NoRoom"
)

// waitingModels returns the models without a ready copy after this round, and what each waits for.
func (p *Planner) waitingModels() map[galenastair.ModelName]modelWait {
	out := map[galenastair.ModelName]modelWait{}
	for _, m := range p.plan.baseModels {
		if !m.readyElsewhere(nil) {
			out[m.weight.Name] = p.waitFor(m)
		}
	}
	return out
}

// modelWait is a wait reason and the backend server concerned, if any.
type modelWait struct {
	reason waitReason
	server galenastair.BackendServerID
}

func (p *Planner) waitFor(m *planModel) modelWait {
	for _, c := range m.copies {
		if c.state == Loading {
			return modelWait{waitsForLoad, c.server.ID}
		}
	}
	for id, s := range p.swaps {
		if s.model == m.weight.Name {
			return modelWait{waitsForUnload, id}
		}
	}
	if !p.canLoad() {
		return modelWait{reason: waitsForStore}
	}
	return modelWait{reason: waitsForRoom}
}
