package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"galenastair"
	"galenastair/contract"
)

// fakeLog is an in-memory log with injectable faults.
type fakeLog struct {
	mu      sync.Mutex
	records []galenastair.LogRecord
	first   galenastair.Offset
	changed chan struct{}
	down    bool
	// maxBatch bounds the number of records per read, so that readers need several reads.
	maxBatch int
	// fault, if set, returns the fault of each append.
	fault func() appendFault
	// delayed holds appends that take effect only when releaseDelayed is called.
	delayed [][]byte
}

type appendFault int

const (
	noFault appendFault = iota
	appendRefused
	responseLost
	appliedLate
	neverApplied
)

func newFakeLog() *fakeLog { return &fakeLog{first: 1, changed: make(chan struct{}), maxBatch: 100} }

func (l *fakeLog) Append(_ context.Context, _ galenastair.Stream, data []byte) (galenastair.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := noFault
	if l.fault != nil {
		fault = l.fault()
	}
	switch {
	case l.down || fault == appendRefused:
		return 0, galenastair.ErrAppendRefused
	case fault == neverApplied:
		return 0, galenastair.ErrAppendUnknown
	case fault == appliedLate:
		l.delayed = append(l.delayed, data)
		return 0, galenastair.ErrAppendUnknown
	}
	at := l.insert(data)
	if fault == responseLost {
		return 0, galenastair.ErrAppendUnknown
	}
	return at, nil
}

func (l *fakeLog) add(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.insert(data)
}

func (l *fakeLog) insert(data []byte) galenastair.Offset {
	at := l.first + galenastair.Offset(len(l.records))
	l.records = append(l.records, galenastair.LogRecord{Offset: at, Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	return at
}

func (l *fakeLog) releaseDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, data := range l.delayed {
		l.insert(data)
	}
	l.delayed = nil
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	close(l.changed)
	l.changed = make(chan struct{})
}

// expire drops the records before an offset.
func (l *fakeLog) expire(before galenastair.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := before - l.first; n > 0 {
		l.records, l.first = l.records[n:], before
	}
}

func (l *fakeLog) next() galenastair.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first + galenastair.Offset(len(l.records))
}

func (l *fakeLog) Read(ctx context.Context, _ galenastair.Stream, from galenastair.Offset, wait time.Duration) (galenastair.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		b, changed, err := l.batch(from)
		if err != nil || len(b.Records) > 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				return b, ctx.Err()
			}
			return b, nil
		}
	}
}

func (l *fakeLog) batch(from galenastair.Offset) (galenastair.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := galenastair.Batch{First: l.first, Next: l.first + galenastair.Offset(len(l.records))}
	switch {
	case l.down:
		return b, nil, galenastair.ErrLogUnavailable
	case from < l.first:
		return b, nil, galenastair.ErrExpired
	case from < b.Next:
		b.Records = append(b.Records, l.records[from-l.first:]...)
	}
	if len(b.Records) > l.maxBatch {
		b.Records = b.Records[:l.maxBatch]
	}
	return b, l.changed, nil
}

func testKey(n int) galenastair.KeyHash { return galenastair.HashKey(fmt.Sprint("key ", n)) }

func testContract(o galenastair.Organisation, keys ...galenastair.KeyHash) contract.Contract {
	return contract.Contract{Organisation: o, Rate: 100, Burst: 1000, Models: []galenastair.ModelName{"m1", "m2"}, KeyHashes: keys}
}

func testRecord(id galenastair.RecordID, kind galenastair.RecordKind, body any) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	data, err := json.Marshal(galenastair.Record{ID: id, Kind: kind, Author: "test", Body: raw})
	if err != nil {
		panic(err)
	}
	return data
}
