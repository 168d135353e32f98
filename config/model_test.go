package config

import (
	"context"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"galenastair"
)

// model is the configuration as a reader of the design would keep it by hand:
// three organisations, six keys, no digest and no table.
type model struct {
	revision map[galenastair.Organisation]galenastair.Offset
	inForce  map[galenastair.Organisation]bool
	keys     map[galenastair.KeyHash]string
}

const withdrawnKey = "withdrawn"

func newModel() *model {
	return &model{
		revision: make(map[galenastair.Organisation]galenastair.Offset),
		inForce:  make(map[galenastair.Organisation]bool),
		keys:     make(map[galenastair.KeyHash]string),
	}
}

func (m *model) live(o galenastair.Organisation) map[galenastair.KeyHash]bool {
	live := make(map[galenastair.KeyHash]bool)
	for h, owner := range m.keys {
		if owner == string(o) {
			live[h] = true
		}
	}
	return live
}

func (m *model) publish(at, base galenastair.Offset, o galenastair.Organisation, keys []galenastair.KeyHash) bool {
	if m.revision[o] != base {
		return false
	}
	missing := m.live(o)
	for _, h := range keys {
		if owner := m.keys[h]; owner != "" && owner != string(o) {
			return false
		}
		delete(missing, h)
	}
	if len(keys) > 0 && len(missing) > 0 {
		return false
	}
	for _, h := range keys {
		m.keys[h] = string(o)
	}
	m.revision[o], m.inForce[o] = at, true
	return true
}

func (m *model) give(at galenastair.Offset, o galenastair.Organisation, h galenastair.KeyHash) bool {
	if !m.inForce[o] || m.keys[h] != "" && m.keys[h] != string(o) {
		return false
	}
	if m.keys[h] == "" {
		m.revision[o] = at
	}
	m.keys[h] = string(o)
	return true
}

func (m *model) withdraw(at galenastair.Offset, h galenastair.KeyHash) bool {
	if owner := m.keys[h]; owner != "" && owner != withdrawnKey {
		m.revision[galenastair.Organisation(owner)] = at
	}
	m.keys[h] = withdrawnKey
	return true
}

func (m *model) end(at, base galenastair.Offset, o galenastair.Organisation) bool {
	if !m.inForce[o] || m.revision[o] != base {
		return false
	}
	for h := range m.live(o) {
		m.keys[h] = withdrawnKey
	}
	m.revision[o], m.inForce[o] = at, false
	return true
}

var modelOrganisations = []galenastair.Organisation{"A", "B", "C"}

// String renders what callers can see, for comparison.
func (m *model) String() string {
	s := ""
	for i := range 6 {
		s += fmt.Sprintf("%d:%s ", i, m.keys[testKey(i)])
	}
	for _, o := range modelOrganisations {
		s += fmt.Sprintf("%s:%d:%t ", o, m.revision[o], m.inForce[o])
	}
	return s
}

func renderView(v *View) string {
	m := newModel()
	for i := range 6 {
		k, found := v.ByKey(testKey(i))
		switch {
		case found && k.Withdrawn:
			m.keys[testKey(i)] = withdrawnKey
		case found:
			m.keys[testKey(i)] = string(k.Organisation)
		}
	}
	for _, o := range modelOrganisations {
		m.revision[o] = v.Latest(o).Offset
		_, m.inForce[o] = v.Contract(o)
	}
	return m.String()
}

// world is one log, the model beside it and instances that follow the log.
type world struct {
	log       *fakeLog
	model     *model
	reference *Fold
	rendered  map[galenastair.Offset]string
	snapshots map[galenastair.Offset]string
	instances []*reader
	reached   []galenastair.Offset
	covered   galenastair.Offset
}

func newWorld() *world {
	w := &world{
		log: newFakeLog(), model: newModel(), reference: NewFold(), reached: make([]galenastair.Offset, 3),
		rendered: make(map[galenastair.Offset]string), snapshots: make(map[galenastair.Offset]string),
	}
	for range w.reached {
		w.instances = append(w.instances, newReader(w.log))
	}
	w.note()
	return w
}

// note keeps what every instance must hold when it has folded all up to now.
func (w *world) note() {
	w.rendered[w.reference.Next()] = w.model.String()
	w.snapshots[w.reference.Next()] = string(w.reference.Snapshot())
}

func (w *world) append(t *rapid.T, data []byte, accepted func(at galenastair.Offset) bool) {
	at := w.log.next()
	w.log.add(data)
	v := w.reference.Apply(galenastair.LogRecord{Offset: at, Data: data})
	if accepted != nil && v.Outcome != Duplicate && accepted(at) != (v.Outcome == Accepted) {
		t.Fatalf("model disagrees with %s", v)
	}
	w.note()
}

func (w *world) record(t *rapid.T, kind galenastair.RecordKind, body any, accepted func(at galenastair.Offset) bool) {
	w.append(t, testRecord(galenastair.RecordID(fmt.Sprint("r", w.log.next())), kind, body), accepted)
}

func (w *world) base(t *rapid.T, o galenastair.Organisation) galenastair.Offset {
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		return galenastair.Offset(rapid.IntRange(0, int(w.log.next())).Draw(t, "base"))
	}
	return w.model.revision[o]
}

func (w *world) check(t *rapid.T) {
	for i, r := range w.instances {
		next := r.fold.Next()
		if next < w.reached[i] {
			t.Fatalf("instance %d went back from %d to %d", i, w.reached[i], next)
		}
		w.reached[i] = next
		if got := renderView(r.fold.View()); got != w.rendered[next] {
			t.Fatalf("instance %d at %d\n got %s\nwant %s", i, next, got, w.rendered[next])
		}
		if got := string(r.fold.Snapshot()); got != w.snapshots[next] {
			t.Fatalf("instance %d at %d has other bytes", i, next)
		}
	}
}

// Operators race, a record comes twice, the log forgets, instances restart from
// what is left or take the fold of another. A caller would be let in by one
// instance and refused by another, or let in again after the withdrawal.
//
// Seen failing with each of: base not compared; withdrawn keys not kept, not
// asked for, or not restored from a snapshot; owner not compared; omitted keys
// let pass; the contract's keys not withdrawn with it; revision dropped with a
// contract; a record id applied twice; adopt taking a lower offset; recent not
// restored; no restart from a snapshot after expiry.
func TestInstancesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		organisations := rapid.SampledFrom(modelOrganisations)
		keys := rapid.Custom(func(t *rapid.T) galenastair.KeyHash { return testKey(rapid.IntRange(0, 5).Draw(t, "key")) })
		instance := rapid.IntRange(0, len(w.instances)-1)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				o, hashes := organisations.Draw(t, "o"), rapid.SliceOfNDistinct(keys, 0, 3, rapid.ID).Draw(t, "keys")
				base := w.base(t, o)
				body := ContractPublished{Base: base, Contract: testContract(o, hashes...)}
				w.record(t, KindContractPublished, body, func(at galenastair.Offset) bool { return w.model.publish(at, base, o, hashes) })
			},
			"end": func(t *rapid.T) {
				o := organisations.Draw(t, "o")
				base := w.base(t, o)
				body := ContractWithdrawn{Base: base, Organisation: o}
				w.record(t, KindContractWithdrawn, body, func(at galenastair.Offset) bool { return w.model.end(at, base, o) })
			},
			"give": func(t *rapid.T) {
				o, h := organisations.Draw(t, "o"), keys.Draw(t, "key")
				w.record(t, KindKeyGiven, KeyGiven{o, h}, func(at galenastair.Offset) bool { return w.model.give(at, o, h) })
			},
			"withdraw": func(t *rapid.T) {
				h := keys.Draw(t, "key")
				w.record(t, KindKeyWithdrawn, KeyWithdrawn{h}, func(at galenastair.Offset) bool { return w.model.withdraw(at, h) })
			},
			"junk": func(t *rapid.T) { w.append(t, rapid.SliceOf(rapid.Byte()).Draw(t, "data"), nil) },
			"twice": func(t *rapid.T) {
				if n := len(w.log.records); n > 0 {
					w.append(t, w.log.records[rapid.IntRange(0, n-1).Draw(t, "which")].Data, nil)
				}
			},
			"snapshot": func(t *rapid.T) {
				v := w.instances[instance.Draw(t, "i")].fold.View()
				records, err := snapshotRecords(v, "leader")
				if err != nil || len(records) != 1 {
					t.Fatalf("%d parts, %v", len(records), err)
				}
				w.record(t, KindSnapshotTaken, records[0].Body, nil)
				w.covered = max(w.covered, v.next)
			},
			"expire": func(*rapid.T) { w.log.expire(w.covered) },
			"read": func(t *rapid.T) {
				w.log.most = rapid.IntRange(1, 10).Draw(t, "most")
				if _, err := w.instances[instance.Draw(t, "i")].read(context.Background(), 0); err != nil {
					t.Fatal(err)
				}
			},
			"restart": func(t *rapid.T) {
				i := instance.Draw(t, "i")
				w.instances[i], w.reached[i] = newReader(w.log), 0
			},
			"peer": func(t *rapid.T) {
				f, err := Restore(w.instances[instance.Draw(t, "from")].fold.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				w.instances[instance.Draw(t, "to")].adopt(f)
			},
			"": func(t *rapid.T) { w.check(t) },
		})
	})
}

// A view is read by traffic while the fold goes on.
// Seen failing with freeze leaving the shards owned, and with own not copying.
func TestViewsDoNotChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTable[galenastair.Organisation, int](hashOrganisation)
		want := make(map[galenastair.Organisation]int)
		for i := range rapid.IntRange(1, 50).Draw(t, "n") {
			k := galenastair.Organisation(fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "k")))
			before, frozen := maps.Clone(want), f.freeze()
			if rapid.Bool().Draw(t, "put") {
				f.put(k, i)
				want[k] = i
			} else {
				f.drop(k)
				delete(want, k)
			}
			if !maps.Equal(maps.Collect(frozen.all), before) || !maps.Equal(maps.Collect(f.all), want) {
				t.Fatalf("step %d", i)
			}
		}
	})
}

// FuzzApply looks for records that stop the fold, or whose fold cannot be restored.
func FuzzApply(f *testing.F) {
	f.Add(testRecord("r", KindContractPublished, ContractPublished{Base: 1, Contract: testContract("A", testKey(1))}))
	f.Add(testRecord("r", KindContractWithdrawn, ContractWithdrawn{Base: 1, Organisation: "A"}))
	f.Add(testRecord("r", KindKeyGiven, KeyGiven{"A", testKey(2)}))
	f.Add(testRecord("r", KindKeyWithdrawn, KeyWithdrawn{testKey(1)}))
	f.Add(testRecord("r", KindSnapshotTaken, SnapshotTaken{Covers: 2, Parts: 1, Data: []byte("{}")}))
	f.Add(testRecord("r", KindRulesRaised, RulesRaised{2}))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &script{fold: NewFold()}
		s.publish(NoRevision, "A", testKey(1))
		s.withdraw(testKey(3))
		v := s.fold.Apply(galenastair.LogRecord{Offset: 3, Data: data})
		if s.fold.Next() != 4 && !s.fold.Halted() {
			t.Fatalf("the fold stands after %s", v)
		}
		again, err := Restore(s.fold.Snapshot())
		if err != nil || again.Digest() != s.fold.Digest() || string(again.Snapshot()) != string(s.fold.Snapshot()) {
			t.Fatalf("not the same fold after %s: %v", v, err)
		}
		if s.known(testKey(3)) != withdrawnKey {
			t.Fatalf("a withdrawn key came back by %s", v)
		}
		for name, o := range s.fold.organisations.all {
			if o.Contract != nil && (o.Contract.Organisation != name || o.Contract.Validate() != nil) {
				t.Fatalf("invalid contract of %q", name)
			}
		}
		var a assembly
		a.add(galenastair.LogRecord{Offset: 3, Data: data})
	})
}
