package logline

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// BenchmarkAnswered writes the line of an answered request, the longest and most frequent line,
// through the queue to a file. At 2 µs per line, the 8,027 lines that ten instances wrote under
// heavy load in 60 s took 16 ms of the 4.05 s of CPU time that they used, 0.4 %.
func BenchmarkAnswered(b *testing.B) {
	out, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer out.Close()
	w := New(out)
	ctx, cancel := context.WithCancel(b.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	l := log.With(log.NewLogfmtLogger(w), "ts", log.DefaultTimestampUTC, "instance", "front-1")
	for b.Loop() {
		_ = l.Log("event", "answered", "request", "9c41d07be2a35f68", "organisation", "Himalbyte", "route", "drafts", "status", 200,
			"code", "", "outcome", "Ran", "sends", 1, "runs", 1, "first", 40*time.Millisecond, "total", 90*time.Millisecond,
			"version", 7, "age", time.Second, "model", "m1/a2", "tokens", int64(2390), "cause", nil)
	}
	cancel()
	<-ended
}
