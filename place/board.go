package place

import (
	"cmp"
	"slices"

	"galenastair"
)

// planState is the state of one planning round: the copies on each backend server, and the
// load that they are expected to cause there.
type planState struct {
	servers []*planServer
	models  []*planModel
	// baseModels are all models but the adapters whose base is in the catalogue.
	baseModels []*planModel
	byName     map[galenastair.ModelName]*planModel
}

type planServer struct {
	Server
	load float64
	// swapping is set while a swap reserves this backend server's memory.
	swapping bool
	// models are the base models that are loaded, loading or unloading here.
	models []*planModel
}

// addCopy adds a copy that is on a backend server or ordered there.
func (m *planModel) addCopy(c *planCopy) {
	m.copies = append(m.copies, c)
	if m.base == nil {
		c.server.models = append(c.server.models, m)
	}
}

// inService reports whether the planner counts on the copies there: the backend server is
// neither leaving nor unhealthy.
func (s *planServer) inService() bool { return !s.Leaving && !s.Unhealthy }

// acceptsOrders reports whether the planner may load or unload models there.
func (s *planServer) acceptsOrders() bool { return s.inService() && !s.Unschedulable && !s.RateLimited }

// rateLimitedLoadFactor is the load that a unit of work causes on a rate-limited backend server,
// relative to others.
const rateLimitedLoadFactor = 4

// loadFor returns the load that work causes on the backend server.
func (s *planServer) loadFor(work float64) float64 {
	if s.SpeedFactor > 0 {
		work *= s.SpeedFactor
	}
	if s.RateLimited {
		return rateLimitedLoadFactor * work
	}
	return work
}

// preferredTo reports whether routers choose this backend server before o.
func (s *planServer) preferredTo(o *planServer) bool {
	if s.RateLimited != o.RateLimited {
		return !s.RateLimited
	}
	return s.load < o.load
}

type planModel struct {
	weight   galenastair.ModelWeights
	work     float64
	adapters []*planModel
	base     *planModel
	copies   []*planCopy
}

type planCopy struct {
	server *planServer
	state  CopyState
	share  float64
}

func newPlanState(in Input) *planState {
	st := &planState{byName: map[galenastair.ModelName]*planModel{}}
	for _, w := range in.Catalogue {
		m := &planModel{weight: w, work: in.Work(w.Name)}
		st.models = append(st.models, m)
		st.byName[w.Name] = m
	}
	for _, m := range st.models {
		if m.base = st.byName[m.weight.Base]; m.base != nil {
			m.base.adapters = append(m.base.adapters, m)
			continue
		}
		st.baseModels = append(st.baseModels, m)
	}
	for _, s := range in.Servers {
		ps := &planServer{Server: s}
		st.servers = append(st.servers, ps)
		for _, c := range s.Copies {
			m := st.byName[c.Weight.Name]
			if m != nil && m.weight.Version == c.Weight.Version {
				m.addCopy(&planCopy{server: ps, state: c.State})
			}
		}
	}
	st.distributeLoad()
	return st
}

// memoryWithAdapters returns the memory of a model and its adapters, which are loaded beside
// each copy of it.
func (m *planModel) memoryWithAdapters() galenastair.Bytes {
	sum := m.weight.Memory
	for _, a := range m.adapters {
		sum += a.weight.Memory
	}
	return sum
}

// missingMemory returns the memory that a model and its adapters take on s beyond what is
// already reserved for the model there.
func (m *planModel) missingMemory(s *planServer) galenastair.Bytes {
	need := m.memoryWithAdapters()
	for _, w := range s.Reserved {
		if w.Name == m.weight.Name && w.Version == m.weight.Version {
			need -= w.Memory
		}
	}
	return need
}

// demand returns the work of a model and its adapters, which run beside its copies.
func (m *planModel) demand() float64 {
	sum := m.work
	for _, a := range m.adapters {
		sum += a.work
	}
	return sum
}

func (m *planModel) copyOn(s *planServer) *planCopy {
	for _, c := range m.copies {
		if c.server == s {
			return c
		}
	}
	return nil
}

// active reports whether a copy is ready or loading on a backend server in service.
func (c *planCopy) active() bool { return c.state != Unloading && c.server.inService() }

func (m *planModel) activeCopies() int {
	n := 0
	for _, c := range m.copies {
		if c.active() {
			n++
		}
	}
	return n
}

// hasUnplaceableAdapter reports whether an adapter has no active copy while all copies of its
// base are on backend servers that accept no orders.
func (m *planModel) hasUnplaceableAdapter() bool {
	for _, c := range m.copies {
		if c.active() && c.server.acceptsOrders() {
			return false
		}
	}
	for _, a := range m.adapters {
		if a.activeCopies() == 0 {
			return true
		}
	}
	return false
}

// ending reports whether a copy is on a backend server that has announced when it ends.
func (m *planModel) ending() bool {
	return slices.ContainsFunc(m.copies, func(c *planCopy) bool { return c.server.Ending })
}

// inTransition reports whether a model is being loaded or unloaded on the backend server.
func (s *planServer) inTransition() bool {
	return slices.ContainsFunc(s.models, func(m *planModel) bool { return m.copyOn(s).state != Ready })
}

// readyElsewhere reports whether a backend server other than s has a ready copy. A nil s
// stands for no backend server.
func (m *planModel) readyElsewhere(s *planServer) bool {
	for _, c := range m.copies {
		if c.server != s && c.active() && c.state == Ready {
			return true
		}
	}
	return false
}

// A model's work is split into at least minWorkParts parts and workPartsPerCopy for each copy.
// With fewer, some copies would get no work although routers do send them requests.
const (
	minWorkParts     = 8
	workPartsPerCopy = 4
)

// distributeLoad assigns the work of each model to its copies as the routers would, least
// loaded first. Models with few copies go first, since they have the least choice.
func (st *planState) distributeLoad() {
	for _, s := range st.servers {
		s.load = 0
	}
	order := slices.Clone(st.baseModels)
	slices.SortStableFunc(order, func(x, y *planModel) int {
		return cmp.Or(cmp.Compare(x.activeCopies(), y.activeCopies()), cmp.Compare(y.demand(), x.demand()))
	})
	for _, m := range order {
		m.distributeWork()
	}
}

func (m *planModel) distributeWork() {
	for _, c := range m.copies {
		c.share = 0
	}
	parts := max(minWorkParts, workPartsPerCopy*len(m.copies))
	part := m.demand() / float64(parts)
	for range parts {
		var least *planCopy
		for _, c := range m.copies {
			if c.active() && (least == nil || c.server.preferredTo(least.server)) {
				least = c
			}
		}
		if least == nil {
			return
		}
		least.share += least.server.loadFor(part)
		least.server.load += least.server.loadFor(part)
	}
}

// countLoading returns the number of base models, or of adapters, that are ordered or loading.
func (st *planState) countLoading(adapters bool) int {
	n := 0
	for _, m := range st.models {
		for _, c := range m.copies {
			if c.state == Loading && (m.weight.Base != "") == adapters {
				n++
			}
		}
	}
	return n
}

// scarceMemoryRatio is the fraction of all memory above which one copy of each model leaves too
// little for further copies of busy models.
const scarceMemoryRatio = 0.75

// memoryScarce reports whether one copy of each model leaves too little memory for further copies.
func (st *planState) memoryScarce() bool {
	var total, models galenastair.Bytes
	for _, s := range st.servers {
		if s.inService() {
			total += s.memoryCapacity()
		}
	}
	for _, m := range st.baseModels {
		models += m.memoryWithAdapters()
	}
	return float64(models) > scarceMemoryRatio*float64(total)
}

// memoryCapacity returns the memory for models, used or free.
func (s *planServer) memoryCapacity() galenastair.Bytes {
	sum := s.FreeMemory
	for _, c := range s.Copies {
		sum += c.Weight.Memory
	}
	return sum
}

// meanLoad returns the mean load of the backend servers in service.
func (st *planState) meanLoad() float64 {
	sum, n := 0.0, 0
	for _, s := range st.servers {
		if s.inService() {
			sum += s.load
			n++
		}
	}
	return sum / float64(max(1, n))
}

// maxLoad returns the load of the busiest backend server.
func (st *planState) maxLoad() float64 {
	most := 0.0
	for _, s := range st.servers {
		most = max(most, s.load)
	}
	return most
}
