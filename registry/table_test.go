package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/pool"
)

func newServer(id string, incarnation int64, leaving bool, models ...galenastair.LoadedModel) pool.Server {
	return pool.Server{ID: galenastair.BackendServerID(id), Service: "s", Address: "a", Slots: 1, Incarnation: incarnation, Leaving: leaving, Models: models}
}

// dump returns the contents of a table in a stable order.
func (t *Table) dump() []string {
	var out []string
	for id, e := range t.entries {
		names := qualifiedNames(e.server.Models)
		slices.Sort(names)
		out = append(out, fmt.Sprint(id, e.server.Incarnation, e.server.Leaving, names))
	}
	slices.Sort(out)
	return out
}

// logRecord is a record of the store's topic.
type logRecord struct {
	server  pool.Server
	removed bool
}

// applyLog applies the records from the table's offset on, as one batch.
func applyLog(to *Table, log []logRecord) {
	for at := to.next; int(at) < len(log); at++ {
		if r := log[at]; r.removed {
			to.Remove(at, r.server.ID)
		} else {
			to.Set(at, r.server)
		}
	}
	to.AdvanceTo(galenastair.Offset(len(log)), false)
}

// catchUp sends the changes of one table to another, unless the other has read further.
func catchUp(t *testing.T, from, to *Table) {
	t.Helper()
	changes, next, ok := from.Since(to.next)
	if !ok {
		t.Fatal("Since: the offset has been compacted")
	}
	if next <= to.next {
		return
	}
	for _, c := range changes {
		if c.Deleted {
			to.Remove(next, c.ID)
			continue
		}
		to.Apply(c, next)
	}
	to.AdvanceTo(next, false)
}

func randomRecord(rng *rand.Rand) logRecord {
	m := galenastair.LoadedModel{Name: galenastair.ModelName(fmt.Sprint("m", rng.IntN(3))), Adapters: []string{fmt.Sprint("a", rng.IntN(3))}}
	return logRecord{newServer(fmt.Sprint("e", rng.IntN(6)), int64(rng.IntN(2)), rng.IntN(5) == 0, m), rng.IntN(8) == 0}
}

// Guards against tables that diverge: a reader of the store, an instance that receives the
// reader's changes and sometimes reads the store itself, and one that receives changes from
// that instance must agree. An instance that had read beyond the reader's last batch used to
// miss the removal of a server.
func TestReplicasConverge(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		reader, follower, second := NewTable(), NewTable(), NewTable()
		var log []logRecord
		for range 200 {
			log = append(log, randomRecord(rng))
			if rng.IntN(3) == 0 {
				applyLog(reader, log)
			}
			if rng.IntN(20) == 0 {
				applyLog(follower, log)
			}
			if rng.IntN(4) == 0 {
				catchUp(t, reader, follower)
			}
			if rng.IntN(9) == 0 {
				catchUp(t, follower, second)
			}
		}
		applyLog(reader, log)
		catchUp(t, reader, follower)
		catchUp(t, follower, second)
		is := is.New(t)
		is.Equal(reader.dump(), follower.dump())
		is.Equal(reader.dump(), second.dump())
	}
}

// A renewed registration without other changes must not be sent: each server renews its
// registration every second, and each change costs bytes.
func TestRenewalProducesNoChange(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	m := galenastair.LoadedModel{Name: "m", Adapters: []string{"a1"}}
	table.Set(0, newServer("e", 1, false, m))
	table.AdvanceTo(1, false)
	table.Set(1, newServer("e", 1, false, m))
	table.AdvanceTo(2, false)
	changes, next, ok := table.Since(1)
	is.True(ok)
	is.Equal(next, galenastair.Offset(2))
	is.Equal(len(changes), 0)
}

// Since must not return an incomplete list of changes for an offset before compactOffset.
func TestSinceRejectsCompactedOffset(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Set(7, newServer("e", 1, false))
	table.AdvanceTo(8, true)
	_, _, ok := table.Since(5)
	is.True(!ok)
	_, _, ok = table.Since(8)
	is.True(ok)
}

// Guards against instances that are not told that a server has turned cold again, and against a
// change with each registration of one that cools down as expected.
func TestOnlyALaterColdEndIsAChange(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable()
	set := func(at galenastair.Offset, coldUntil time.Time) bool {
		s := newServer("s1", 1, false)
		s.ColdUntil = coldUntil
		table.Set(at, s)
		table.AdvanceTo(at+1, false)
		changes, _, ok := table.Since(at)
		is.True(ok)
		return len(changes) > 0 && changes[0].Attributes != nil && changes[0].Attributes.ColdUntil.Equal(coldUntil)
	}
	is.True(set(0, now.Add(3*time.Second)))
	is.True(!set(1, now.Add(3200*time.Millisecond)))
	is.True(!set(2, time.Time{}))
	is.True(set(3, now.Add(10*time.Second)))
}

// Guards against instances that are not told when a server ends, and against a change with each of its
// registrations, which give that time a little differently.
func TestAnnouncedEndIsAChangeOnce(t *testing.T) {
	is := is.New(t)
	end := time.Now().Add(5 * time.Second)
	table := NewTable()
	set := func(at galenastair.Offset, leaving bool, goneAt time.Time) (changed bool, got time.Time) {
		s := newServer("s1", 1, leaving)
		s.GoneAt = goneAt
		got = table.Set(at, s).GoneAt
		table.AdvanceTo(at+1, false)
		changes, _, ok := table.Since(at)
		is.True(ok)
		return len(changes) > 0, got
	}
	set(0, false, time.Time{})
	changed, got := set(1, true, end)
	is.True(changed)
	is.Equal(got, end)
	for at := range galenastair.Offset(4) {
		// small differences must not add up unnoticed
		changed, got = set(2+at, true, end.Add(time.Duration(at)*300*time.Millisecond))
		is.True(!changed)
		is.Equal(got, end)
	}
	changed, got = set(6, true, end.Add(-2*time.Second))
	is.True(changed)
	is.Equal(got, end.Add(-2*time.Second))
	changed, got = set(7, false, time.Time{})
	is.True(changed)
	is.True(got.IsZero())
}

// Guards against an announced end that is lost when an instance of an earlier release, which does not
// know it, passes on another change of the server.
func TestAnnouncedEndSurvivesAChangeWithoutIt(t *testing.T) {
	is := is.New(t)
	end := time.Now().Add(5 * time.Second)
	table := NewTable()
	s := newServer("s1", 1, true)
	s.GoneAt = end
	table.Set(0, s)
	table.AdvanceTo(1, false)
	apply := func(next galenastair.Offset, incarnation int64, leaving bool) time.Time {
		changed := newServer("s1", incarnation, leaving)
		got, ok := table.Apply(Change{ID: "s1", Attributes: &changed}, next)
		is.True(ok)
		return got.GoneAt
	}
	is.Equal(apply(2, 1, true), end)
	is.True(apply(3, 2, true).IsZero()) // another process
}
