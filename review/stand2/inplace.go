package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	inplaceGateways = 6
	inplaceReplicas = 8
	// inplaceTokens is 40 events of two tokens.
	inplaceTokens = 80
	inplaceRate   = 60
	// inplaceDown is how long a replica is away. The next one ends inplaceGap after it is back.
	inplaceDown = 2 * time.Second
	inplaceGap  = 200 * time.Millisecond
)

// inplaceCase has half of the replicas of a service start again with another version, one after
// the other, under the ids that they had, while resumable streams run; later the other half does. It counts the streams that
// hold events of two versions.
func inplaceCase(ctx context.Context, w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	var replicas []*replica
	for i := range inplaceReplicas {
		r := &replica{w: w, service: "feed", zone: fmt.Sprintf("zone-%d", i%4+1), version: "v1", streams: true, slots: 64, queue: 24, first: 30 * time.Millisecond, gap: 40 * time.Millisecond}
		if err := r.open(); err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	err := w.configure([]map[string]any{{"name": "feeds", "host": "a.example", "path-prefix": "/feeds/", "route-type": "stream", "timeout-ms": 8000, "target-latency-ms": 800,
		"gap-aim-ms": 400, "priority": 1, "service": "feed", "attempts": 2, "resumable": true, "public": false}},
		[]map[string]any{{"name": "feed", "health-path": "/health", "max-conns": 360}})
	if err != nil {
		return false, err
	}
	if err := w.addGateways(inplaceGateways, 4); err != nil {
		return false, err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	start := time.Now()
	const length = 60 * time.Second
	if w.trouble {
		go inplaceRestarts(w, replicas, start)
	}
	t := &inplaceTally{}
	var clients sync.WaitGroup
	for time.Since(start) < length {
		clients.Add(1)
		go func() {
			defer clients.Done()
			inplaceClient(ctx, w, t)
		}()
		time.Sleep(time.Second / inplaceRate)
	}
	clients.Wait()
	w.logf("%d streams, %d complete, %d taken up again by their callers, %d with events of several versions; the rule allows two", t.sent, t.complete, t.taken, t.mixed)
	if t.complete < 500 {
		return false, errNotRun
	}
	return t.mixed > 2, nil
}

// inplaceRestarts has the replicas start again, each half with the next version.
func inplaceRestarts(w *world, replicas []*replica, start time.Time) {
	half := len(replicas) / 2
	for round := range 4 {
		time.Sleep(time.Until(start.Add(time.Duration(4+round*13) * time.Second)))
		version := fmt.Sprintf("v%d", round/2+2)
		for _, r := range replicas[round%2*half : round%2*half+half] {
			w.logf("replica %s (%s) ends, and starts again with version %s", r.id, r.version, version)
			if err := r.restart(version, inplaceDown); err != nil {
				w.logf("restart: %v", err)
			}
			time.Sleep(inplaceGap)
		}
	}
}

type inplaceTally struct {
	mu                           sync.Mutex
	sent, complete, mixed, taken int
}

// inplaceClient starts a stream and, if it breaks off after an event, takes it up once at any machine.
func inplaceClient(ctx context.Context, w *world, t *inplaceTally) {
	id := newID()
	versions := map[string]bool{}
	s := w.stream(ctx, w.gateways[rand.IntN(len(w.gateways))], "/feeds/1", streamRequest{id: id, tokens: inplaceTokens, deadline: 8 * time.Second})
	for v := range s.versions {
		versions[v] = true
	}
	alone := len(versions) > 1
	if !s.complete && s.last > 0 {
		again := newID()
		s = w.stream(ctx, w.gateways[rand.IntN(len(w.gateways))], "/feeds/1", streamRequest{id: again, resumes: id, last: s.last, tokens: inplaceTokens, deadline: 5 * time.Second})
		for v := range s.versions {
			versions[v] = true
		}
		t.mu.Lock()
		t.taken++
		t.mu.Unlock()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if s.complete && s.last > 0 {
		t.complete++
	}
	if len(versions) > 1 {
		t.mixed++
		w.logf("stream %s holds events of versions %v (in one answer: %v)", id, versions, alone)
	}
}
