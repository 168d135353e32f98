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

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
