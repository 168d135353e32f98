package config

import (
	"context"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"galenastair"
)

// model is a simple reference implementation of the configuration, with three
// organisations and six keys, and without digest and cowMap.
type model struct {
	revision map[galenastair.Organisation]galenastair.Offset
	inForce  map[galenastair.Organisation]bool
	keys     map[galenastair.KeyHash]string
}

const keyWithdrawn = "withdrawn"

func newModel() *model {
	return &model{
		revision: make(map[galenastair.Organisation]galenastair.Offset),
		inForce:  make(map[galenastair.Organisation]bool),
		keys:     make(map[galenastair.KeyHash]string),
	}
}

func (m *model) liveKeys(o galenastair.Organisation) map[galenastair.KeyHash]bool {
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
	missing := m.liveKeys(o)
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
	if owner := m.keys[h]; owner != "" && owner != keyWithdrawn {
		m.revision[galenastair.Organisation(owner)] = at
	}
	m.keys[h] = keyWithdrawn
	return true
}

func (m *model) withdrawContract(at, base galenastair.Offset, o galenastair.Organisation) bool {
	if !m.inForce[o] || m.revision[o] != base {
		return false
	}
	for h := range m.liveKeys(o) {
		m.keys[h] = keyWithdrawn
	}
	m.revision[o], m.inForce[o] = at, false
	return true
}

var modelOrganisations = []galenastair.Organisation{"A", "B", "C"}

// String formats the externally visible state for comparison.
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

func formatView(v *View) string {
	m := newModel()
	for i := range 6 {
		k, found := v.LookupKey(testKey(i))
		switch {
		case found && k.Withdrawn:
			m.keys[testKey(i)] = keyWithdrawn
		case found:
			m.keys[testKey(i)] = string(k.Organisation)
		}
	}
	for _, o := range modelOrganisations {
		m.revision[o] = v.LastChange(o).Offset
		_, m.inForce[o] = v.Contract(o)
	}
	return m.String()
}

// simulation is one log, the model of its configuration, and instances that follow the log.
type simulation struct {
	log               *fakeLog
	model             *model
	reference         *StateMachine
	expectedViews     map[galenastair.Offset]string
	expectedSnapshots map[galenastair.Offset]string
	instances         []*reader
	lastOffsets       []galenastair.Offset
	snapshotOffset    galenastair.Offset
}

func newSimulation() *simulation {
	sim := &simulation{
		log: newFakeLog(), model: newModel(), reference: NewStateMachine(), lastOffsets: make([]galenastair.Offset, 3),
		expectedViews: make(map[galenastair.Offset]string), expectedSnapshots: make(map[galenastair.Offset]string),
	}
	for range sim.lastOffsets {
		sim.instances = append(sim.instances, newReader(sim.log))
	}
	sim.recordExpected()
	return sim
}

// recordExpected records the state that every instance must have at the current offset.
func (sim *simulation) recordExpected() {
	sim.expectedViews[sim.reference.Next()] = sim.model.String()
	sim.expectedSnapshots[sim.reference.Next()] = string(sim.reference.Snapshot())
}

func (sim *simulation) append(t *rapid.T, data []byte, accepted func(at galenastair.Offset) bool) {
	at := sim.log.next()
	sim.log.add(data)
	v := sim.reference.Apply(galenastair.LogRecord{Offset: at, Data: data})
	if accepted != nil && v.Outcome != Duplicate && accepted(at) != (v.Outcome == Accepted) {
		t.Fatalf("model disagrees with %s", v)
	}
	sim.recordExpected()
}

func (sim *simulation) record(t *rapid.T, kind galenastair.RecordKind, body any, accepted func(at galenastair.Offset) bool) {
	sim.append(t, testRecord(galenastair.RecordID(fmt.Sprint("r", sim.log.next())), kind, body), accepted)
}

func (sim *simulation) base(t *rapid.T, o galenastair.Organisation) galenastair.Offset {
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		return galenastair.Offset(rapid.IntRange(0, int(sim.log.next())).Draw(t, "base"))
	}
	return sim.model.revision[o]
}

func (sim *simulation) check(t *rapid.T) {
	for i, r := range sim.instances {
		next := r.sm.Next()
		if next < sim.lastOffsets[i] {
			t.Fatalf("instance %d went back from %d to %d", i, sim.lastOffsets[i], next)
		}
		sim.lastOffsets[i] = next
		if got := formatView(r.sm.View()); got != sim.expectedViews[next] {
			t.Fatalf("instance %d at %d\n got %s\nwant %s", i, next, got, sim.expectedViews[next])
		}
		if got := string(r.sm.Snapshot()); got != sim.expectedSnapshots[next] {
			t.Fatalf("instance %d at %d has a different snapshot", i, next)
		}
	}
}

// Operators make concurrent changes, records are duplicated, the log drops old records, and
// instances restart from a snapshot in the log or from a peer. Guards against a key that
// one instance accepts and another rejects, or that is accepted again after its withdrawal.
//
// Fails if the base is not compared; if withdrawn keys are not stored, not checked, or not
// restored from a snapshot; if the owner of a key is not compared; if a contract may omit
// keys; if the keys of a withdrawn contract are not withdrawn; if the revision of a
// withdrawn contract is dropped; if a duplicate record is applied; if installIfNewer
// accepts a lower offset; if recent records are not restored; or if a reader does not
// restart from a snapshot after expiry.
func TestInstancesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		organisations := rapid.SampledFrom(modelOrganisations)
		keys := rapid.Custom(func(t *rapid.T) galenastair.KeyHash { return testKey(rapid.IntRange(0, 5).Draw(t, "key")) })
		instance := rapid.IntRange(0, len(sim.instances)-1)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				o, hashes := organisations.Draw(t, "o"), rapid.SliceOfNDistinct(keys, 0, 3, rapid.ID).Draw(t, "keys")
				base := sim.base(t, o)
				body := ContractPublished{Base: base, Contract: testContract(o, hashes...)}
				sim.record(t, KindContractPublished, body, func(at galenastair.Offset) bool { return sim.model.publish(at, base, o, hashes) })
			},
			"end": func(t *rapid.T) {
				o := organisations.Draw(t, "o")
				base := sim.base(t, o)
				body := ContractWithdrawn{Base: base, Organisation: o}
				sim.record(t, KindContractWithdrawn, body, func(at galenastair.Offset) bool { return sim.model.withdrawContract(at, base, o) })
			},
			"give": func(t *rapid.T) {
				o, h := organisations.Draw(t, "o"), keys.Draw(t, "key")
				sim.record(t, KindKeyGiven, KeyGiven{o, h}, func(at galenastair.Offset) bool { return sim.model.give(at, o, h) })
			},
			"withdraw": func(t *rapid.T) {
				h := keys.Draw(t, "key")
				sim.record(t, KindKeyWithdrawn, KeyWithdrawn{h}, func(at galenastair.Offset) bool { return sim.model.withdraw(at, h) })
			},
			"junk": func(t *rapid.T) { sim.append(t, rapid.SliceOf(rapid.Byte()).Draw(t, "data"), nil) },
			"twice": func(t *rapid.T) {
				if n := len(sim.log.records); n > 0 {
					sim.append(t, sim.log.records[rapid.IntRange(0, n-1).Draw(t, "which")].Data, nil)
				}
			},
			"snapshot": func(t *rapid.T) {
				v := sim.instances[instance.Draw(t, "i")].sm.View()
				records, err := snapshotRecords(v, "leader")
				if err != nil || len(records) != 1 {
					t.Fatalf("%d parts, %v", len(records), err)
				}
				sim.record(t, KindSnapshotTaken, records[0].Body, nil)
				sim.snapshotOffset = max(sim.snapshotOffset, v.next)
			},
			"expire": func(*rapid.T) { sim.log.expire(sim.snapshotOffset) },
			"read": func(t *rapid.T) {
				sim.log.maxBatch = rapid.IntRange(1, 10).Draw(t, "most")
				if _, err := sim.instances[instance.Draw(t, "i")].read(context.Background(), 0); err != nil {
					t.Fatal(err)
				}
			},
			"restart": func(t *rapid.T) {
				i := instance.Draw(t, "i")
				sim.instances[i], sim.lastOffsets[i] = newReader(sim.log), 0
			},
			"peer": func(t *rapid.T) {
				f, err := Restore(sim.instances[instance.Draw(t, "from")].sm.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				sim.instances[instance.Draw(t, "to")].installIfNewer(f)
			},
			"": func(t *rapid.T) { sim.check(t) },
		})
	})
}

// Requests read a view while the state machine applies further records.
// Fails if freeze keeps the shards owned, or if writableShard does not copy.
func TestViewsAreImmutable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCOWMap[galenastair.Organisation, int](hashOrganisation)
		want := make(map[galenastair.Organisation]int)
		for i := range rapid.IntRange(1, 50).Draw(t, "n") {
			k := galenastair.Organisation(fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "k")))
			before, frozen := maps.Clone(want), f.freeze()
			if rapid.Bool().Draw(t, "put") {
				f.put(k, i)
				want[k] = i
			} else {
				f.remove(k)
				delete(want, k)
			}
			if !maps.Equal(maps.Collect(frozen.all), before) || !maps.Equal(maps.Collect(f.all), want) {
				t.Fatalf("step %d", i)
			}
		}
	})
}

// FuzzApply looks for records that block the state machine, or whose state cannot be restored.
func FuzzApply(f *testing.F) {
	f.Add(testRecord("r", KindContractPublished, ContractPublished{Base: 1, Contract: testContract("A", testKey(1))}))
	f.Add(testRecord("r", KindContractWithdrawn, ContractWithdrawn{Base: 1, Organisation: "A"}))
	f.Add(testRecord("r", KindKeyGiven, KeyGiven{"A", testKey(2)}))
	f.Add(testRecord("r", KindKeyWithdrawn, KeyWithdrawn{testKey(1)}))
	f.Add(testRecord("r", KindSnapshotTaken, SnapshotTaken{Covers: 2, Parts: 1, Data: []byte("{}")}))
	f.Add(testRecord("r", KindRulesRaised, RulesRaised{2}))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &harness{sm: NewStateMachine()}
		s.publish(NoRevision, "A", testKey(1))
		s.withdrawKey(testKey(3))
		v := s.sm.Apply(galenastair.LogRecord{Offset: 3, Data: data})
		if s.sm.Next() != 4 && !s.sm.Halted() {
			t.Fatalf("state machine blocked after %s", v)
		}
		again, err := Restore(s.sm.Snapshot())
		if err != nil || again.Digest() != s.sm.Digest() || string(again.Snapshot()) != string(s.sm.Snapshot()) {
			t.Fatalf("restored state differs after %s: %v", v, err)
		}
		if s.keyOwner(testKey(3)) != keyWithdrawn {
			t.Fatalf("withdrawn key restored by %s", v)
		}
		for name, o := range s.sm.organisations.all {
			if o.Contract != nil && (o.Contract.Organisation != name || o.Contract.Validate() != nil) {
				t.Fatalf("invalid contract of %q", name)
			}
		}
		var a snapshotAssembler
		a.add(galenastair.LogRecord{Offset: 3, Data: data})
	})
}
