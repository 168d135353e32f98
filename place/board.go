package place

import (
	"cmp"
	"slices"

	"galenastair"
)

// board is the state of one round: what is where, and how the load would spread.
type board struct {
	servers []*boardServer
	models  []*boardModel
	// base are the models that are no adapters, or whose base is not known.
	base   []*boardModel
	byName map[galenastair.ModelName]*boardModel
}

type boardServer struct {
	Server
	load float64
	// swap says that a swap owns this backend server's memory.
	swap bool
	// models are the base models of which it has, or will have, a copy.
	models []*boardModel
}

// add notes a copy that a backend server has, or will have.
func (m *boardModel) add(c *boardCopy) {
	m.copies = append(m.copies, c)
	if m.base == nil {
		c.server.models = append(c.server.models, m)
	}
}

// stays says whether the copies there count.
func (s *boardServer) stays() bool { return !s.Leaving && !s.Slow }

// takes says whether it may be ordered to load or unload.
func (s *boardServer) takes() bool { return s.stays() && !s.Closed && !s.Limited }

// limitedWeight is how many times as loaded as others a limited server is by the same work.
const limitedWeight = 4

// loadOf is what some work loads the server by.
func (s *boardServer) loadOf(work float64) float64 {
	if s.Limited {
		return limitedWeight * work
	}
	return work
}

// before says whether routers choose this server first.
func (s *boardServer) before(o *boardServer) bool {
	if s.Limited != o.Limited {
		return !s.Limited
	}
	return s.load < o.load
}

type boardModel struct {
	weight   galenastair.Weight
	work     float64
	adapters []*boardModel
	base     *boardModel
	copies   []*boardCopy
}

type boardCopy struct {
	server *boardServer
	state  CopyState
	share  float64
}

func newBoard(in Input) *board {
	b := &board{byName: map[galenastair.ModelName]*boardModel{}}
	for _, w := range in.Catalogue {
		m := &boardModel{weight: w, work: in.Work(w.Name)}
		b.models = append(b.models, m)
		b.byName[w.Name] = m
	}
	for _, m := range b.models {
		if m.base = b.byName[m.weight.Base]; m.base != nil {
			m.base.adapters = append(m.base.adapters, m)
			continue
		}
		b.base = append(b.base, m)
	}
	for _, s := range in.Servers {
		bs := &boardServer{Server: s}
		b.servers = append(b.servers, bs)
		for _, c := range s.Copies {
			m := b.byName[c.Weight.Name]
			if m != nil && m.weight.Version == c.Weight.Version {
				m.add(&boardCopy{server: bs, state: c.State})
			}
		}
	}
	b.spread()
	return b
}

// bundle is the memory of a model with its adapters, which are packed with it.
func (m *boardModel) bundle() galenastair.Bytes {
	sum := m.weight.Memory
	for _, a := range m.adapters {
		sum += a.weight.Memory
	}
	return sum
}

// need is the memory that a model with its adapters takes beyond what s keeps for it.
func (m *boardModel) need(s *boardServer) galenastair.Bytes {
	need := m.bundle()
	for _, w := range s.Reserved {
		if w.Name == m.weight.Name && w.Version == m.weight.Version {
			need -= w.Memory
		}
	}
	return need
}

// demand is the work of a model and its adapters, done where the model is.
func (m *boardModel) demand() float64 {
	sum := m.work
	for _, a := range m.adapters {
		sum += a.work
	}
	return sum
}

func (m *boardModel) on(s *boardServer) *boardCopy {
	for _, c := range m.copies {
		if c.server == s {
			return c
		}
	}
	return nil
}

// lasting says whether a copy will be there for new work.
func (c *boardCopy) lasting() bool { return c.state != Going && c.server.stays() }

func (m *boardModel) lasting() int {
	n := 0
	for _, c := range m.copies {
		if c.lasting() {
			n++
		}
	}
	return n
}

// hasStrandedAdapter says whether an adapter has no copy, and all copies of its base are on backend servers
// that take no orders.
func (m *boardModel) hasStrandedAdapter() bool {
	for _, c := range m.copies {
		if c.lasting() && c.server.takes() {
			return false
		}
	}
	for _, a := range m.adapters {
		if a.lasting() == 0 {
			return true
		}
	}
	return false
}

// readyBeside says whether another copy answers if the one on s goes.
func (m *boardModel) readyBeside(s *boardServer) bool {
	for _, c := range m.copies {
		if c.server != s && c.lasting() && c.state == Ready {
			return true
		}
	}
	return false
}

// spreadParts is in how many parts a model's work is dealt at least, and partsACopy how many
// there are for each copy: fewer would leave copies without work that routers do send them.
const (
	spreadParts = 8
	partsACopy  = 4
)

// spread deals the work of each model to its copies as the routers would: to the
// less loaded ones, those with few copies to choose from first.
func (b *board) spread() {
	for _, s := range b.servers {
		s.load = 0
	}
	order := slices.Clone(b.base)
	slices.SortStableFunc(order, func(x, y *boardModel) int {
		return cmp.Or(cmp.Compare(x.lasting(), y.lasting()), cmp.Compare(y.demand(), x.demand()))
	})
	for _, m := range order {
		m.deal()
	}
}

func (m *boardModel) deal() {
	for _, c := range m.copies {
		c.share = 0
	}
	parts := max(spreadParts, partsACopy*len(m.copies))
	part := m.demand() / float64(parts)
	for range parts {
		var least *boardCopy
		for _, c := range m.copies {
			if c.lasting() && (least == nil || c.server.before(least.server)) {
				least = c
			}
		}
		if least == nil {
			return
		}
		least.share += least.server.loadOf(part)
		least.server.load += least.server.loadOf(part)
	}
}

// count returns how many models, or adapters, are coming.
func (b *board) coming(adapters bool) int {
	n := 0
	for _, m := range b.models {
		for _, c := range m.copies {
			if c.state == Coming && (m.weight.Base != "") == adapters {
				n++
			}
		}
	}
	return n
}

// roomy is the part of the fleet's memory that one copy of each model may take at most for
// all to keep theirs: what is left holds the further copies of busy models.
const roomy = 0.75

// scarce says that one copy of each model leaves too little memory for further ones.
func (b *board) scarce() bool {
	var all, models galenastair.Bytes
	for _, s := range b.servers {
		if s.stays() {
			all += s.memory()
		}
	}
	for _, m := range b.base {
		models += m.bundle()
	}
	return float64(models) > roomy*float64(all)
}

// memory is all that a backend server has for models.
func (s *boardServer) memory() galenastair.Bytes {
	sum := s.Free
	for _, c := range s.Copies {
		sum += c.Weight.Memory
	}
	return sum
}

// mean is the load of a backend server on the whole.
func (b *board) mean() float64 {
	sum, n := 0.0, 0
	for _, s := range b.servers {
		if s.stays() {
			sum += s.load
			n++
		}
	}
	return sum / float64(max(1, n))
}

// busiest is the load of the busiest backend server.
func (b *board) busiest() float64 {
	most := 0.0
	for _, s := range b.servers {
		most = max(most, s.load)
	}
	return most
}
