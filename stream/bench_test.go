package stream

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkRecordSize reports the memory of a record in a table and in an outbox.
func BenchmarkRecordSize(b *testing.B) {
	const records = 100_000
	r := Record{Origin: Origin{"writer", "v1"}, TimeLeft: time.Minute}
	for b.Loop() {
		t, o := NewTable(), NewOutbox()
		before := heap()
		for i := range records {
			r.Key = Key(i * 0x9e3779b97f4a7c1)
			t.Add(start, r)
		}
		middle := heap()
		for i := range maxPending {
			r.Key = Key(i)
			o.Add(start, r)
		}
		b.ReportMetric(float64(middle-before)/records, "table-bytes/record")
		b.ReportMetric(float64(heap()-middle)/maxPending, "outbox-bytes/record")
		runtime.KeepAlive(t)
		runtime.KeepAlive(o)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
