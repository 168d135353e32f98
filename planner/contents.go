package planner

import (
	"strconv"

	"galenastair"
	"galenastair/catalog"
)

// modelSet holds the models and adapters that the engines of one service can load.
type modelSet struct {
	service galenastair.ServiceName
	engine  *catalog.Engine
	models  map[galenastair.ModelName]*catalog.Model
	// adapters lists each model's adapters as MODEL/ADAPTER.
	adapters       map[galenastair.ModelName][]galenastair.ModelName
	weights        []galenastair.ModelWeights
	largestAdapter galenastair.Bytes
}

func newModelSet(s *catalog.Service) *modelSet {
	ms := &modelSet{service: s.Name, engine: s.Engine, models: map[galenastair.ModelName]*catalog.Model{},
		adapters: map[galenastair.ModelName][]galenastair.ModelName{}}
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		ms.models[m.Name] = m
		for n := 1; n <= m.AdapterCount; n++ {
			ms.adapters[m.Name] = append(ms.adapters[m.Name], adapterName(m.Name, "a"+strconv.Itoa(n)))
		}
		ms.weights = append(ms.weights, galenastair.ModelWeights{Name: m.Name, Memory: m.Memory})
		if m.AdapterCount > 0 {
			ms.largestAdapter = max(ms.largestAdapter, m.AdapterMemory)
		}
	}
	return ms
}

// memory returns the memory of a model. One that is no longer configured counts as the largest.
func (ms *modelSet) memory(name galenastair.ModelName) galenastair.Bytes {
	if m := ms.models[name]; m != nil {
		return m.Memory
	}
	var most galenastair.Bytes
	for _, m := range ms.models {
		most = max(most, m.Memory)
	}
	return most
}

// knows reports whether a model, or an adapter of it, is configured.
func (ms *modelSet) knows(m galenastair.ModelName, adapter string) bool {
	model := ms.models[m]
	if model == nil || adapter == "" {
		return model != nil
	}
	// adapters are named a1, a2 and so on, up to their count
	n, err := strconv.Atoi(adapter[1:])
	return adapter[0] == 'a' && err == nil && n >= 1 && n <= model.AdapterCount
}
