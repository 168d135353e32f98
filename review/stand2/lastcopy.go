package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	lastCopyGateways = 6
	// lastCopyRate is below the 37.6 streams a second of the first small deployment of the pages.
	lastCopyRate = 36
	// lastCopyTokens is 86 events of two tokens, as in the longer streams there.
	lastCopyTokens   = 172
	lastCopyDeadline = 15 * time.Second
)

// lastCopyCase has one replica crash that is the only one of its software version with a model. Two others of that
// version serve on, and replicas of another version hold the model too.
func lastCopyCase(ctx context.Context, w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	var replicas []*replica
	// m1 is busy; the others are rare and stand on one replica each, as at the pages' start. All replicas are full.
	rare := 1
	for i, c := range []struct {
		version string
		busy    bool
	}{{"v1", true}, {"v1", false}, {"v1", false}, {"v2", true}, {"v2", true}, {"v2", false}, {"v2", false}} {
		r := &replica{w: w, service: "writer", zone: fmt.Sprintf("zone-%d", i%4+1), version: c.version, room: 3, loadTime: 2400 * time.Millisecond,
			slots: 64, queue: 134, first: 80 * time.Millisecond, gap: 20200 * time.Microsecond}
		if c.busy {
			r.models = []string{"m1"}
		}
		for len(r.models) < r.room {
			rare++
			r.models = append(r.models, fmt.Sprintf("m%d", rare))
		}
		if err := r.open(); err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	var models []any
	for m := range rare {
		models = append(models, map[string]any{"name": fmt.Sprintf("m%d", m+1), "weights-mb": 72700, "load-s": 2.4, "warm-s": 1.2, "disk-s": 1.6, "adapters": 0, "adapter-mb": 66})
	}
	err := w.configure([]map[string]any{{"name": "drafts", "host": "a.example", "path-prefix": "/drafts/", "route-type": "stream", "timeout-ms": 15000, "target-latency-ms": 2000,
		"gap-aim-ms": 400, "priority": 1, "service": "writer", "attempts": 2, "resumable": true, "sticky": true, "public": false}},
		[]map[string]any{{"name": "writer", "health-path": "/health", "max-conns": 360, "engine": map[string]any{"slots": 64, "kv-tokens": 144634, "weights-mb": 230000, "adapter-slots": 8, "loads-per-s": 1.1, "models": models}}})
	if err != nil {
		return false, err
	}
	if err := w.addGateways(lastCopyGateways, 4); err != nil {
		return false, err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	t := &resumeTally{}
	start := time.Now()
	if w.trouble {
		time.AfterFunc(8*time.Second, func() {
			w.logf("replica %s crashes; of its version %s and %s serve on", replicas[0].id, replicas[1].id, replicas[2].id)
			replicas[0].crash()
		})
	}
	var clients sync.WaitGroup
	for time.Since(start) < 40*time.Second {
		clients.Add(1)
		go func() {
			defer clients.Done()
			lastCopyClient(ctx, w, t)
		}()
		time.Sleep(time.Second / lastCopyRate)
	}
	clients.Wait()
	begun, taken := float64(t.begun)/float64(max(1, t.sent)), float64(t.wentOn)/float64(max(1, t.taken))
	w.logf("new streams: %d sent, %d began (%.3f)", t.sent, t.begun, begun)
	w.logf("streams taken up again: %d, of which %d went on (%.3f); events of two versions in %d streams", t.taken, t.wentOn, taken, t.mixed)
	if t.sent < 1000 || begun < 0.5 {
		return false, errNotRun
	}
	return t.taken >= 12 && taken < begun/2, nil
}

// lastCopyClient starts a stream and, if it breaks off after an event, takes it up at once at any machine, and once
// more after the Retry-After of a refusal.
func lastCopyClient(ctx context.Context, w *world, t *resumeTally) {
	id, end := newID(), time.Now().Add(lastCopyDeadline)
	pick := func() *gateway { return w.gateways[rand.IntN(len(w.gateways))] }
	first := w.stream(ctx, pick(), "/drafts/1", streamRequest{id: id, model: "m1", tokens: lastCopyTokens, deadline: lastCopyDeadline})
	t.mu.Lock()
	t.sent++
	if first.events > 0 {
		t.begun++
	}
	t.mu.Unlock()
	if first.complete || first.events == 0 {
		return
	}
	var again streamResult
	for range 2 {
		again = w.stream(ctx, pick(), "/drafts/1", streamRequest{id: newID(), resumes: id, last: first.last, model: "m1", tokens: lastCopyTokens, deadline: time.Until(end)})
		if again.status != 503 || again.retryAfter <= 0 {
			break
		}
		time.Sleep(min(again.retryAfter, time.Until(end)/3))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taken++
	if again.events > 0 || again.complete && again.status == 200 {
		t.wentOn++
	}
	for v := range again.versions {
		if !first.versions[v] {
			t.mixed++
		}
	}
}
