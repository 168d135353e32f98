package planner

import "galenastair"

// index is what the engines hold, so that a round over hundreds of engines and a thousand
// adapters looks at each engine once.
type index struct {
	// ready are the engines that answer for a model, and adapters counts the copies of one.
	ready    map[galenastair.ModelName][]*engine
	adapters map[galenastair.ModelName]int
}

func (s *site) newIndex() *index {
	x := &index{ready: map[galenastair.ModelName][]*engine{}, adapters: map[galenastair.ModelName]int{}}
	for _, e := range s.engines {
		for name := range e.models {
			if e.ready(name) {
				x.ready[name] = append(x.ready[name], e)
			}
		}
		if !s.preferred(e) {
			continue
		}
		for name := range e.adapters {
			x.adapters[name]++
		}
	}
	return x
}

// moved notes that an adapter is loaded, or dropped.
func (x *index) moved(name galenastair.ModelName, by int) {
	if x != nil {
		x.adapters[name] += by
	}
}
