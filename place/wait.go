package place

import "galenastair"

// waitReason says what a model without a ready copy waits for.
type waitReason string

const (
	// waitsForLoad is for a copy that is ordered or on its way.
	waitsForLoad waitReason = "Loading"
	// waitsForUnload is for other copies to make room.
	waitsForUnload waitReason = "MakingRoom"
	// waitsForStore is for the weight store's limit.
	waitsForStore waitReason = "Paced"
	// waitsForRoom is for memory on a backend server that takes orders.
	waitsForRoom waitReason = "NoRoom"
)

// waits returns what each model without a ready copy waits for after this round, and where.
func (p *Planner) waits() map[galenastair.ModelName]waiting {
	out := map[galenastair.ModelName]waiting{}
	for _, m := range p.board.base {
		if !m.readyBeside(nil) {
			out[m.weight.Name] = p.waitOf(m)
		}
	}
	return out
}

// waiting is a wait and the backend server that it is for, if any.
type waiting struct {
	reason waitReason
	server galenastair.BackendServerID
}

func (p *Planner) waitOf(m *boardModel) waiting {
	for _, c := range m.copies {
		if c.state == Coming {
			return waiting{waitsForLoad, c.server.ID}
		}
	}
	for id, s := range p.swaps {
		if s.want == m.weight.Name {
			return waiting{waitsForUnload, id}
		}
	}
	if !p.mayLoad() {
		return waiting{reason: waitsForStore}
	}
	return waiting{reason: waitsForRoom}
}
