package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/pool"
)

func server(id string, born int64, leaving bool, models ...galenastair.EngineModel) pool.Server {
	return pool.Server{ID: galenastair.BackendServerID(id), Service: "s", Address: "a", Slots: 1, Born: born, Leaving: leaving, Models: models}
}

// view is what a table holds, in an order that does not change.
func (t *Table) view() []string {
	var out []string
	for id, e := range t.entries {
		names := namesOf(e.server.Models)
		slices.Sort(names)
		out = append(out, fmt.Sprint(id, e.server.Born, e.server.Leaving, names))
	}
	slices.Sort(out)
	return out
}

// catchUp tells one table what another has from its position on.
func catchUp(t *testing.T, from, to *Table) {
	t.Helper()
	changes, next, ok := from.Since(to.next)
	if !ok {
		t.Fatal("the position is not known")
	}
	for _, c := range changes {
		if c.Gone {
			to.Remove(c.ID)
			continue
		}
		to.Apply(c, next)
	}
	to.MoveTo(next, false)
}

// An instance that is told what changed knows something else than the one that reads the
// store, or one that is told by it in turn does.
func TestToldTablesAgree(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		reader, told, second := NewTable(), NewTable(), NewTable()
		for at := range galenastair.Offset(200) {
			id := fmt.Sprint("e", rng.IntN(6))
			switch rng.IntN(8) {
			case 0:
				reader.Remove(galenastair.BackendServerID(id))
			default:
				m := galenastair.EngineModel{Name: galenastair.ModelName(fmt.Sprint("m", rng.IntN(3))), Adapters: []string{fmt.Sprint("a", rng.IntN(3))}}
				reader.Set(at, server(id, int64(rng.IntN(2)), rng.IntN(5) == 0, m))
			}
			reader.MoveTo(at+1, false)
			if rng.IntN(4) == 0 {
				catchUp(t, reader, told)
			}
			if rng.IntN(9) == 0 {
				catchUp(t, told, second)
			}
		}
		catchUp(t, reader, told)
		catchUp(t, told, second)
		is := is.New(t)
		is.Equal(reader.view(), told.view())
		is.Equal(reader.view(), second.view())
	}
}

// An entry is renewed each second without a change that others go by, and costs bytes.
func TestRenewalIsNoChange(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	m := galenastair.EngineModel{Name: "m", Adapters: []string{"a1"}}
	table.Set(0, server("e", 1, false, m))
	table.MoveTo(1, false)
	table.Set(1, server("e", 1, false, m))
	table.MoveTo(2, false)
	changes, next, ok := table.Since(1)
	is.True(ok)
	is.Equal(next, galenastair.Offset(2))
	is.Equal(len(changes), 0)
}

// An instance behind what is remembered is told a part of the changes as if it were all.
func TestUnknownPastIsNotTold(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Set(7, server("e", 1, false))
	table.MoveTo(8, true)
	_, _, ok := table.Since(5)
	is.True(!ok)
	_, _, ok = table.Since(8)
	is.True(ok)
}
