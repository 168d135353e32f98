package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenastair"
	"galenastair/peer/claimpb"
)

// BenchmarkAttemptSize reports the size of an attempt in a table and in a message.
func BenchmarkAttemptSize(b *testing.B) {
	const attempts = 50_000
	now := time.Unix(1000, 0)
	sample := func(i int) Attempt {
		return Attempt{
			Key:    KeyOf("Furnir", galenastair.IdempotencyKey(fmt.Sprint(i))),
			ID:     AttemptID{"entry-17-8f14e45f", galenastair.RequestID(fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", i))},
			Digest: DigestOf("Furnir", "/bids", fmt.Append(nil, i)),
		}
	}
	for b.Loop() {
		before := heap()
		t := NewTable()
		for i := range attempts {
			if err := t.Open(now, sample(i), nil); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heap()-before)/attempts, "bytes/attempt")
		runtime.KeepAlive(t)
	}
	m := &claimpb.BeginRequest{Attempt: fromAttempt(sample(1), now)}
	b.ReportMetric(float64(proto.Size(m)), "bytes/message")
}

// BenchmarkCrashMemory reports the memory of a request and of a prompt part that have crashed servers, and of a run
// that its server has not outlived yet: the difference between full and half-full trackers.
func BenchmarkCrashMemory(b *testing.B) {
	now := time.Unix(1000, 0)
	server := func(i int) ServerProcess { return ServerProcess(fmt.Sprintf("i-%010x@%d", i, 1)) }
	poison := func(requests, crashes int) float64 {
		before := heap()
		p := NewPoisonTracker(nil, WithCrashLimit(3))
		for i := range requests {
			d := DigestOf("Furnir", "/bids", fmt.Append(nil, i))
			for n := range crashes {
				p.RecordRemoteCrash(now, Crash{d, server(8*i + n)})
			}
		}
		after := heap()
		runtime.KeepAlive(p)
		return float64(after) - float64(before)
	}
	parts := func(parts, crashes int) float64 {
		before := heap()
		p := NewPartTracker(nil)
		for i := range parts {
			for n := range crashes {
				p.Apply(now, PartEvent{Part(i), server(64*i + n), now})
			}
		}
		after := heap()
		runtime.KeepAlive(p)
		return float64(after) - float64(before)
	}
	runs := func(servers int) float64 {
		before := heap()
		t := NewCrashTracker(nil, nil, nil)
		for i := range servers {
			for n := range 64 {
				t.RecordEnd(now, Run{Digest: DigestOf("Furnir", "/bids", fmt.Append(nil, i, n)), Parts: []Part{Part(i), Part(n)}, Server: server(i)}, true)
			}
		}
		after := heap()
		runtime.KeepAlive(t)
		return float64(after) - float64(before)
	}
	for b.Loop() {
		b.ReportMetric((runs(128)-runs(64))/64/64, "bytes/ended-run")
		for _, n := range []int{1, 3} {
			b.ReportMetric((poison(4096, n)-poison(2048, n))/2048, fmt.Sprintf("bytes/request-of-%d", n))
		}
		for _, n := range []int{1, 4, 64} {
			b.ReportMetric((parts(4096, n)-parts(2048, n))/2048, fmt.Sprintf("bytes/part-of-%d", n))
		}
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
