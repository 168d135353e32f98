package config

import (
	"fmt"
	"runtime"
	"testing"

	"galenastair"
)

// benchmarkRecords returns n records with contracts of the target size: 3 keys, 20 models
// and 2 services each.
func benchmarkRecords(n int) []galenastair.LogRecord {
	records := make([]galenastair.LogRecord, n)
	for i := range records {
		c := testContract(galenastair.Organisation(fmt.Sprint("Organisation ", i)), testKey(3*i), testKey(3*i+1), testKey(3*i+2))
		c.Models, c.Services = nil, []galenastair.ServiceName{"diary", "notices"}
		for m := range 20 {
			c.Models = append(c.Models, galenastair.ModelName(fmt.Sprintf("model-%d-%d", i%50, m)))
		}
		id := galenastair.RecordID(fmt.Sprintf("record-%029d", i))
		records[i] = galenastair.LogRecord{Offset: galenastair.Offset(i + 1), Data: testRecord(id, KindContractPublished, ContractPublished{Contract: c})}
	}
	return records
}

func applyAll(records []galenastair.LogRecord) *StateMachine {
	f := NewStateMachine()
	for _, rec := range records {
		f.Apply(rec)
	}
	return f
}

// BenchmarkApply applies 5,000 contracts, as an instance does when it starts.
func BenchmarkApply(b *testing.B) {
	records := benchmarkRecords(5000)
	for b.Loop() {
		if v := applyAll(records).View(); len(v.Organisations()) != len(records) {
			b.Fatal("contracts are missing")
		}
	}
}

// BenchmarkSnapshot takes and restores a snapshot at the size of one region and of seven regions.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{2000, 14000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := applyAll(benchmarkRecords(n))
			var size int
			for b.Loop() {
				data := f.Snapshot()
				size = len(data)
				if _, err := Restore(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "snapshot-bytes")
		})
	}
}

// BenchmarkChange applies one change, a key given or withdrawn, and creates a view.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{2000, 14000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := &harness{sm: applyAll(benchmarkRecords(n))}
			for i := 0; b.Loop(); i++ {
				organisation, key := galenastair.Organisation(fmt.Sprint("Organisation ", i/2%n)), testKey(1000000+i/2)
				change := s.withdrawKey
				if i%2 == 0 {
					change = func(h galenastair.KeyHash) ApplyResult { return s.giveKey(organisation, h) }
				}
				if v := change(key); v.Outcome != Accepted {
					b.Fatal(v)
				}
				s.sm.View()
			}
		})
	}
}

// BenchmarkLookupKey looks up a key, which each request does twice.
func BenchmarkLookupKey(b *testing.B) {
	v := applyAll(benchmarkRecords(2000)).View()
	h := testKey(3000)
	b.ReportAllocs()
	for b.Loop() {
		if _, found := v.LookupKey(h); !found {
			b.Fatal("key is missing")
		}
	}
}

// BenchmarkMemory reports the memory that a state machine and its view hold, and how much
// withdrawn keys add.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ organisations, withdrawn int }{{2000, 0}, {14000, 0}, {2000, 100000}} {
		b.Run(fmt.Sprintf("%d/%d", size.organisations, size.withdrawn), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				f := applyAll(benchmarkRecords(size.organisations))
				for i := range size.withdrawn {
					f.withdrawKey(testKey(1000000 + i))
				}
				v := f.View()
				b.ReportMetric(float64(heap()-before), "held-bytes")
				runtime.KeepAlive(f)
				runtime.KeepAlive(v)
			}
		})
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
