package member

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"galenastair"
)

// fakeLog is an in-memory log that can be down, lose the answers of appends and expire records.
type fakeLog struct {
	mu       sync.Mutex
	records  []galenastair.LogRecord
	first    galenastair.Offset
	appended chan struct{}
	down     bool
	// loseAnswers makes every other append fail with an unknown outcome after it took effect.
	loseAnswers bool
	appends     int
}

func newFakeLog() *fakeLog { return &fakeLog{first: 1, appended: make(chan struct{})} }

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *fakeLog) expire(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[n:]
	l.first += galenastair.Offset(n)
}

func (l *fakeLog) Append(_ context.Context, _ galenastair.Stream, data []byte) (galenastair.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, galenastair.ErrAppendUnknown
	}
	offset := l.first + galenastair.Offset(len(l.records))
	l.records = append(l.records, galenastair.LogRecord{Offset: offset, Data: data})
	close(l.appended)
	l.appended = make(chan struct{})
	l.appends++
	if l.loseAnswers && l.appends%2 == 0 {
		return 0, galenastair.ErrAppendUnknown
	}
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, _ galenastair.Stream, from galenastair.Offset, wait time.Duration) (galenastair.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		b, appended, err := l.read(from)
		if err != nil || len(b.Records) > 0 || wait == 0 {
			return b, err
		}
		select {
		case <-appended:
		case <-ctx.Done():
			return b, nil
		}
	}
}

func (l *fakeLog) read(from galenastair.Offset) (galenastair.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return galenastair.Batch{}, nil, galenastair.ErrLogUnavailable
	}
	if from < l.first {
		return galenastair.Batch{}, nil, galenastair.ErrExpired
	}
	next := l.first + galenastair.Offset(len(l.records))
	b := galenastair.Batch{First: l.first, Next: next}
	if from < next {
		b.Records = append(b.Records, l.records[from-l.first:]...)
	}
	return b, l.appended, nil
}

// kinds returns the number of records of each kind.
func (l *fakeLog) kinds(t *testing.T) map[galenastair.RecordKind]int {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[galenastair.RecordKind]int)
	for _, r := range l.records {
		var rec galenastair.Record
		if err := json.Unmarshal(r.Data, &rec); err != nil {
			t.Fatal(err)
		}
		out[rec.Kind]++
	}
	return out
}

func (l *fakeLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}
