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

// record is one of the store's topic.
type record struct {
	server pool.Server
	gone   bool
}

// read takes in the store's records from a table's position on, as one batch.
func read(to *Table, log []record) {
	for at := to.next; int(at) < len(log); at++ {
		if r := log[at]; r.gone {
			to.Remove(at, r.server.ID)
		} else {
			to.Set(at, r.server)
		}
	}
	to.MoveTo(galenastair.Offset(len(log)), false)
}

// catchUp tells one table what another has from its position on, unless it is ahead.
func catchUp(t *testing.T, from, to *Table) {
	t.Helper()
	changes, next, ok := from.Since(to.next)
	if !ok {
		t.Fatal("the position is not known")
	}
	if next <= to.next {
		return
	}
	for _, c := range changes {
		if c.Gone {
			to.Remove(next, c.ID)
			continue
		}
		to.Apply(c, next)
	}
	to.MoveTo(next, false)
}

func randomRecord(rng *rand.Rand) record {
	m := galenastair.EngineModel{Name: galenastair.ModelName(fmt.Sprint("m", rng.IntN(3))), Adapters: []string{fmt.Sprint("a", rng.IntN(3))}}
	return record{server(fmt.Sprint("e", rng.IntN(6)), int64(rng.IntN(2)), rng.IntN(5) == 0, m), rng.IntN(8) == 0}
}

// An instance that is told what changed, or has read a part of it itself, knows something
// else than the one that reads the store, or than one that it tells in turn. Seen with a
// server that was gone: one that had read beyond the reader's last batch never heard of it.
func TestToldTablesAgree(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		reader, told, second := NewTable(), NewTable(), NewTable()
		var log []record
		for range 200 {
			log = append(log, randomRecord(rng))
			if rng.IntN(3) == 0 {
				read(reader, log)
			}
			if rng.IntN(20) == 0 {
				read(told, log)
			}
			if rng.IntN(4) == 0 {
				catchUp(t, reader, told)
			}
			if rng.IntN(9) == 0 {
				catchUp(t, told, second)
			}
		}
		read(reader, log)
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
