package config

import (
	"fmt"
	"runtime"
	"testing"

	"galenastair"
)

// benchRecords are contracts of the target: 3 keys, 20 models, 2 services each.
func benchRecords(n int) []galenastair.LogRecord {
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

func foldAll(records []galenastair.LogRecord) *Fold {
	f := NewFold()
	for _, rec := range records {
		f.Apply(rec)
	}
	return f
}

// BenchmarkFold folds 5,000 contracts, as an instance does that starts.
func BenchmarkFold(b *testing.B) {
	records := benchRecords(5000)
	for b.Loop() {
		if v := foldAll(records).View(); len(v.Organisations()) != len(records) {
			b.Fatal("contracts are missing")
		}
	}
}

// BenchmarkSnapshot writes a fold down and restores it, at one region's size and at seven regions'.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{2000, 14000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := foldAll(benchRecords(n))
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

// BenchmarkChange folds one change, a key given or withdrawn, and publishes the view of it.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{2000, 14000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := &script{fold: foldAll(benchRecords(n))}
			for i := 0; b.Loop(); i++ {
				organisation, key := galenastair.Organisation(fmt.Sprint("Organisation ", i/2%n)), testKey(1000000+i/2)
				change := s.withdraw
				if i%2 == 0 {
					change = func(h galenastair.KeyHash) Verdict { return s.give(organisation, h) }
				}
				if v := change(key); v.Outcome != Accepted {
					b.Fatal(v)
				}
				s.fold.View()
			}
		})
	}
}

// BenchmarkByKey looks a key up, as each request does twice.
func BenchmarkByKey(b *testing.B) {
	v := foldAll(benchRecords(2000)).View()
	h := testKey(3000)
	b.ReportAllocs()
	for b.Loop() {
		if _, found := v.ByKey(h); !found {
			b.Fatal("key is missing")
		}
	}
}

// BenchmarkMemory reports what a fold and its view hold in memory, and what withdrawn keys add.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ organisations, withdrawn int }{{2000, 0}, {14000, 0}, {2000, 100000}} {
		b.Run(fmt.Sprintf("%d/%d", size.organisations, size.withdrawn), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				f := foldAll(benchRecords(size.organisations))
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
