package planner

import (
	"strconv"

	"galenastair"
	"galenastair/catalog"
)

// contents is what the engines of one service may hold.
type contents struct {
	service galenastair.ServiceName
	engine  *catalog.Engine
	models  map[galenastair.ModelName]*catalog.Model
	// adapters are the names of each model's, behind the model's and a slash.
	adapters       map[galenastair.ModelName][]galenastair.ModelName
	weights        []galenastair.Weight
	largestAdapter galenastair.Bytes
}

func newContents(s *catalog.Service) *contents {
	c := &contents{service: s.Name, engine: s.Engine, models: map[galenastair.ModelName]*catalog.Model{},
		adapters: map[galenastair.ModelName][]galenastair.ModelName{}}
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		c.models[m.Name] = m
		for n := 1; n <= m.Adapters; n++ {
			c.adapters[m.Name] = append(c.adapters[m.Name], adapterName(m.Name, "a"+strconv.Itoa(n)))
		}
		c.weights = append(c.weights, galenastair.Weight{Name: m.Name, Memory: m.Memory})
		if m.Adapters > 0 {
			c.largestAdapter = max(c.largestAdapter, m.AdapterMemory)
		}
	}
	return c
}

// memory of a model that the configuration no longer names counts as the largest.
func (c *contents) memory(name galenastair.ModelName) galenastair.Bytes {
	if m := c.models[name]; m != nil {
		return m.Memory
	}
	var most galenastair.Bytes
	for _, m := range c.models {
		most = max(most, m.Memory)
	}
	return most
}

// knows says whether a model, or an adapter of it, can be loaded at all.
func (c *contents) knows(m galenastair.ModelName, adapter string) bool {
	model := c.models[m]
	if model == nil || adapter == "" {
		return model != nil
	}
	// adapters are named a1, a2 and so on, up to their count
	n, err := strconv.Atoi(adapter[1:])
	return adapter[0] == 'a' && err == nil && n >= 1 && n <= model.Adapters
}
