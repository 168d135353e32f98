package planner

import "galenastair"

// engineIndex indexes the engines by what they hold, so that a round over hundreds of engines and
// a thousand adapters visits each engine once.
type engineIndex struct {
	// ready lists the engines on which a model is ready. adapters counts the copies of each
	// adapter.
	ready    map[galenastair.ModelName][]*engine
	adapters map[galenastair.ModelName]int
}

func (s *service) newEngineIndex() *engineIndex {
	i := &engineIndex{ready: map[galenastair.ModelName][]*engine{}, adapters: map[galenastair.ModelName]int{}}
	for _, e := range s.engines {
		for name := range e.models {
			if e.ready(name) {
				i.ready[name] = append(i.ready[name], e)
			}
		}
		if !s.preferred(e) {
			continue
		}
		for name := range e.adapters {
			i.adapters[name]++
		}
	}
	return i
}

// adjust changes the number of copies of an adapter.
func (i *engineIndex) adjust(name galenastair.ModelName, by int) {
	if i != nil {
		i.adapters[name] += by
	}
}
