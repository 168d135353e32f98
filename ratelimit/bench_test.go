package ratelimit

import (
	"strconv"
	"testing"
	"time"

	"galenastair"
)

// BenchmarkAdmit measures the leader's work for one request with 270 limited servers.
func BenchmarkAdmit(b *testing.B) {
	l, now := NewLimiter(), time.Now()
	limits := make([]Limit, 270)
	for i := range limits {
		limits[i] = Limit{Server: galenastair.BackendServerID("server-" + strconv.Itoa(i)), PerSecond: 1}
	}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		l.Admit(now, limits[i%len(limits)], 300*time.Millisecond)
	}
}
