package dispatch

import "galenastair"

// turn shares one backend server between the models loaded on it, each in
// proportion to the contract rates of those that wait for it. Each model's queue
// is fair by itself; without this, an organisation flooding one model would take
// the slots of those that wait for another model on the same accelerator.
type turn struct {
	virtual float64
	finish  map[galenastair.ModelName]float64
}

func newTurn() *turn { return &turn{finish: map[galenastair.ModelName]float64{}} }

func (t *turn) start(m galenastair.ModelName) float64 {
	return max(t.virtual, t.finish[m])
}

func (t *turn) charge(m galenastair.ModelName, cost, weight float64) {
	start := t.start(m)
	t.virtual = max(t.virtual, start)
	t.finish[m] = start + cost/max(1, weight)
}

// keep forgets the models that are no longer loaded.
func (t *turn) keep(loaded []galenastair.ModelName) {
	kept := make(map[galenastair.ModelName]float64, len(loaded))
	for _, m := range loaded {
		if f, ok := t.finish[m]; ok {
			kept[m] = f
		}
	}
	t.finish = kept
}
