package config

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"galenastair"
)

// harness applies records in sequence, at offsets from 1.
type harness struct{ sm *StateMachine }

func (s *harness) apply(kind galenastair.RecordKind, body any) ApplyResult {
	at := s.sm.Next()
	return s.sm.Apply(galenastair.LogRecord{Offset: at, Data: testRecord(galenastair.RecordID(fmt.Sprint("r", at)), kind, body)})
}

func (s *harness) publish(base galenastair.Offset, o galenastair.Organisation, keys ...galenastair.KeyHash) ApplyResult {
	return s.apply(KindContractPublished, ContractPublished{Base: base, Contract: testContract(o, keys...)})
}

func (s *harness) giveKey(o galenastair.Organisation, h galenastair.KeyHash) ApplyResult {
	return s.apply(KindKeyGiven, KeyGiven{Organisation: o, KeyHash: h})
}

func (s *harness) withdrawKey(h galenastair.KeyHash) ApplyResult {
	return s.apply(KindKeyWithdrawn, KeyWithdrawn{KeyHash: h})
}

func (s *harness) withdrawContract(o galenastair.Organisation) ApplyResult {
	return s.apply(KindContractWithdrawn, ContractWithdrawn{Base: 1, Organisation: o})
}

func (s *harness) keyOwner(h galenastair.KeyHash) string {
	k, found := s.sm.View().LookupKey(h)
	switch {
	case !found:
		return "unknown"
	case k.Withdrawn:
		return "withdrawn"
	}
	return string(k.Organisation)
}

// Fails without checkBase in applyContractPublished (Conflict cases), without the check for
// withdrawn keys in checkKey (KeyWasWithdrawn cases), without withdrawn.put in withdrawKey,
// without the owner check in checkKey, and without checkName.
func TestRules(t *testing.T) {
	k1, k2 := testKey(1), testKey(2)
	tests := []struct {
		name  string
		steps func(*harness) ApplyResult
		want  Reason
		key   string // the owner or state of k1 afterwards
	}{
		{"first contract", func(s *harness) ApplyResult { return s.publish(0, "A", k1) }, NoReason, "A"},
		{"second contract without base", func(s *harness) ApplyResult { s.publish(0, "A", k1); return s.publish(0, "A", k1) }, Conflict, "A"},
		{"second of two concurrent changes", func(s *harness) ApplyResult { s.publish(0, "A"); s.publish(1, "A"); return s.publish(1, "A", k1) }, Conflict, "unknown"},
		{"unlisted keys are kept", func(s *harness) ApplyResult { s.publish(0, "A", k1); return s.publish(1, "A") }, NoReason, "A"},
		{"current key omitted", func(s *harness) ApplyResult { s.publish(0, "A", k1); return s.publish(1, "A", k2) }, KeyOmitted, "A"},
		{"key of another organisation", func(s *harness) ApplyResult { s.publish(0, "A", k1); return s.publish(0, "B", k1) }, KeyTaken, "A"},
		{"key given to another organisation", func(s *harness) ApplyResult { s.publish(0, "A", k1); s.publish(0, "B"); return s.giveKey("B", k1) }, KeyTaken, "A"},
		{"key given", func(s *harness) ApplyResult { s.publish(0, "A"); return s.giveKey("A", k1) }, NoReason, "A"},
		{"key given twice", func(s *harness) ApplyResult { s.publish(0, "A", k1); return s.giveKey("A", k1) }, NoReason, "A"},
		{"key given without contract", func(s *harness) ApplyResult { return s.giveKey("A", k1) }, NoContract, "unknown"},
		{"key withdrawn", func(s *harness) ApplyResult { s.publish(0, "A", k1); return s.withdrawKey(k1) }, NoReason, "withdrawn"},
		{"key withdrawn before it is given", func(s *harness) ApplyResult { s.withdrawKey(k1); s.publish(0, "A"); return s.giveKey("A", k1) }, KeyWasWithdrawn, "withdrawn"},
		{"withdrawn key in an older contract file", func(s *harness) ApplyResult { s.publish(0, "A", k1); s.withdrawKey(k1); return s.publish(2, "A", k1) }, KeyWasWithdrawn, "withdrawn"},
		{"key withdrawn before the contract is published", func(s *harness) ApplyResult { s.publish(0, "A", k1); s.withdrawKey(k1); return s.publish(1, "A", k1) }, Conflict, "withdrawn"},
		{"contract withdrawn", func(s *harness) ApplyResult { s.publish(0, "A", k1); return s.withdrawContract("A") }, NoReason, "withdrawn"},
		{"contract withdrawn from an old revision", func(s *harness) ApplyResult { s.publish(0, "A", k1); s.publish(1, "A"); return s.withdrawContract("A") }, Conflict, "A"},
		{"first record of a withdrawn contract again", func(s *harness) ApplyResult { s.publish(0, "A"); s.withdrawContract("A"); return s.publish(0, "A", k1) }, Conflict, "unknown"},
		{"contract published again with its key", func(s *harness) ApplyResult {
			s.publish(0, "A", k1)
			s.withdrawContract("A")
			return s.publish(2, "A", k1)
		}, KeyWasWithdrawn, "withdrawn"},
		{"contract published again", func(s *harness) ApplyResult { s.publish(0, "A"); s.withdrawContract("A"); return s.publish(2, "A", k1) }, NoReason, "A"},
		{"name in another script", func(s *harness) ApplyResult { s.publish(0, "coco", k1); return s.publish(0, "сосо", k2) }, NameConfusable, "coco"},
		{"name of a withdrawn contract", func(s *harness) ApplyResult {
			s.publish(0, "Mill 1")
			s.withdrawContract("Mill 1")
			return s.publish(0, "mill l")
		}, NameConfusable, "unknown"},
		{"invalid", func(s *harness) ApplyResult { return s.publish(0, "A ", k1) }, Invalid, "unknown"},
		{"unknown kind", func(s *harness) ApplyResult { s.publish(0, "A", k1); return s.apply("Later", 1) }, UnknownKind, "A"},
		{"unknown field", func(s *harness) ApplyResult {
			return s.apply(KindKeyWithdrawn, map[string]any{"KeyHash": k1, "Until": 1})
		}, Malformed, "unknown"},
		{"unsupported rules version", func(s *harness) ApplyResult {
			s.publish(0, "A", k1)
			s.apply(KindRulesRaised, RulesRaised{Version: maxRulesVersion + 1})
			return s.withdrawKey(k1)
		}, UnknownRules, "A"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &harness{sm: NewStateMachine()}
			res := tt.steps(s)
			is.Equal(res.Reason, tt.want)
			is.Equal(s.keyOwner(k1), tt.key)
			if tt.want == Conflict {
				is.True(res.ExistingChange.Record != "") // the accepted change is named
			}
		})
	}
}

// A retry below the platform's client appends a record twice. The operator would see the
// change rejected as a conflict with itself.
// Fails if Apply does not check recent.
func TestDuplicateRecordAppliedOnce(t *testing.T) {
	is := is.New(t)
	sm := NewStateMachine()
	data := testRecord("r1", KindContractPublished, ContractPublished{Contract: testContract("A")})
	is.Equal(sm.Apply(galenastair.LogRecord{Offset: 1, Data: data}).Outcome, Accepted)
	digest := sm.Digest()
	res := sm.Apply(galenastair.LogRecord{Offset: 2, Data: data})
	is.Equal(res.Outcome, Duplicate)
	is.Equal(res.ExistingChange.Offset, galenastair.Offset(1))
	is.Equal(sm.Digest(), digest)
	is.Equal(sm.Apply(galenastair.LogRecord{Offset: 1, Data: data}).Reason, OldOffset)
}
