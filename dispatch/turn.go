package dispatch

import "galenastair"

// turnFlows is how many organisations a turn remembers before those that owe
// nothing are forgotten.
const turnFlows = 256

// turn shares one backend server between organisations, whichever of its models they
// ask for, in proportion to their contract rates. Each model's queue is fair by
// itself; but with a dozen models and adapters on an accelerator, an organisation
// flooding all of them is first in each queue in turn, and one that asks for a
// single model waits for a dozen slots.
type turn struct {
	virtual float64
	finish  map[galenastair.Organisation]float64
}

func newTurn() *turn { return &turn{finish: map[galenastair.Organisation]float64{}} }

func (t *turn) start(o galenastair.Organisation) float64 {
	return max(t.virtual, t.finish[o])
}

func (t *turn) charge(o galenastair.Organisation, cost, weight float64) {
	start := t.start(o)
	t.virtual = max(t.virtual, start)
	t.finish[o] = start + cost/max(1, weight)
	if len(t.finish) > turnFlows {
		t.forget()
	}
}

func (t *turn) forget() {
	for o, f := range t.finish {
		if f <= t.virtual {
			delete(t.finish, o)
		}
	}
	if len(t.finish) > 2*turnFlows {
		clear(t.finish)
	}
}
