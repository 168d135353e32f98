package logline

import (
	"context"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// safeBuffer is an output that never blocks, and that is safe for concurrent use.
type safeBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func startWriter(t *testing.T, w *Writer) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	return func() {
		cancel()
		<-ended
	}
}

// Guards against requests that block on logging when the reader of the logs stops and the pipe
// is full.
func TestWriteDoesNotBlockOnFullPipe(t *testing.T) {
	is := is.New(t)
	r, out, err := os.Pipe()
	is.NoErr(err)
	w := New(out)
	stop := startWriter(t, w)
	line := []byte("event=refused " + strings.Repeat("x", 200) + "\n")
	started := time.Now()
	for range 100000 {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(started) < 2*time.Second)
	is.True(w.Dropped() > 50000)
	go func() { _, _ = io.Copy(io.Discard, r) }()
	stop()
	_ = out.Close()
	_ = r.Close()
}

// Ten times the usual load. Guards against output over the rate limit, against dropped lines of
// refusals while lines of successes are written, and against drops that are not reported.
func TestBudgetKeepsRefusals(t *testing.T) {
	is := is.New(t)
	out := &safeBuffer{}
	w := New(out)
	now := time.Now()
	for i := range 40000 {
		now = now.Add(100 * time.Microsecond)
		if i%100 == 0 {
			w.writeWithinBudget(now, []byte("event=refused code=Overloaded\n"))
		}
		w.writeWithinBudget(now, []byte("event=answered "+strings.Repeat("x", 150)+"\n"))
	}
	w.reportDropped(0)
	text := out.text.String()
	is.Equal(strings.Count(text, "event=refused"), 400)
	is.True(len(text) < burstBytes+4*bytesPerSecond+1000)
	is.True(strings.Contains(text, "log lines left out"))
}

// Guards against lines that are lost because they are still queued when the context ends.
func TestRunDrainsQueueAtShutdown(t *testing.T) {
	is := is.New(t)
	out := &safeBuffer{}
	w := New(out)
	for range 100 {
		_, _ = w.Write([]byte("event=stopped\n"))
	}
	stop := startWriter(t, w)
	stop()
	is.Equal(strings.Count(out.text.String(), "event=stopped"), 100)
}
