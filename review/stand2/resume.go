package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

var cases = map[string]caseFunc{"resume": resumeCase, "brittle": brittleCase, "inplace": inplaceCase, "lastcopy": lastCopyCase, "frozen": frozenCase}

const (
	resumeGateways = 24
	// resumeRate is six streams a second at each machine, as at the first small deployment of the pages.
	resumeRate = 6 * resumeGateways
	// resumeTokens is 11 events of two tokens.
	resumeTokens = 22
)

// resumeCase has streams of two software versions under way while machines are killed, and counts how many
// of those that callers take up again go on.
func resumeCase(ctx context.Context, w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	for i := range 8 {
		r := &replica{w: w, service: "writer", zone: "zone-1", version: []string{"v1", "v2"}[i%2], models: []string{"m1"}, room: 3, loadTime: 2400 * time.Millisecond, slots: 64, queue: 134, first: 80 * time.Millisecond, gap: 20200 * time.Microsecond}
		r.zone = []string{"zone-1", "zone-2", "zone-3", "zone-4"}[i/2]
		if err := r.open(); err != nil {
			return false, err
		}
	}
	err := w.configure([]map[string]any{{"name": "drafts", "host": "a.example", "path-prefix": "/drafts/", "route-type": "stream", "timeout-ms": 5000, "target-latency-ms": 800,
		"gap-aim-ms": 400, "priority": 1, "service": "writer", "attempts": 2, "resumable": true, "sticky": true, "public": false}},
		[]map[string]any{{"name": "writer", "health-path": "/health", "max-conns": 360, "engine": map[string]any{"slots": 64, "kv-tokens": 144634, "weights-mb": 230000, "adapter-slots": 8, "loads-per-s": 1.1,
			"models": []any{map[string]any{"name": "m1", "weights-mb": 72700, "load-s": 2.4, "warm-s": 1.2, "disk-s": 1.6, "adapters": 0, "adapter-mb": 66}}}}})
	if err != nil {
		return false, err
	}
	if err := w.addGateways(resumeGateways, 4); err != nil {
		return false, err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	t := &resumeTally{}
	end := time.Now().Add(70 * time.Second)
	if w.trouble {
		go resumeKills(ctx, w, end)
	}
	var clients sync.WaitGroup
	for time.Now().Before(end) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			resumeClient(ctx, w, t)
		}()
		time.Sleep(time.Second / resumeRate)
	}
	clients.Wait()
	begun, taken := float64(t.begun)/float64(max(1, t.sent)), float64(t.wentOn)/float64(max(1, t.taken))
	w.logf("new streams: %d sent to machines in touch, %d began (%.3f)", t.sent, t.begun, begun)
	w.logf("streams taken up again at machines in touch: %d, of which %d went on (%.3f); events of two versions in %d streams", t.taken, t.wentOn, taken, t.mixed)
	if t.sent < 1000 || begun < 0.9 {
		return false, errNotRun
	}
	return t.taken >= 12 && taken < begun/2, nil
}

// resumeKills kills three of the 24 machines every five seconds; each starts again one second later.
func resumeKills(ctx context.Context, w *world, end time.Time) {
	for i := 0; time.Now().Before(end.Add(-4*time.Second)) && ctx.Err() == nil; i++ {
		for j := range 3 {
			g := w.gateways[(3*i+j)%len(w.gateways)]
			w.kill(g)
			time.AfterFunc(time.Second, func() { _ = w.startGateway(g) })
		}
		time.Sleep(5 * time.Second)
	}
}

type resumeTally struct {
	mu                                sync.Mutex
	sent, begun, taken, wentOn, mixed int
}

func anyInTouch(w *world, except *gateway) *gateway {
	for range 200 {
		if g := w.gateways[rand.IntN(len(w.gateways))]; g != except && g.inTouch() {
			return g
		}
	}
	return nil
}

// resumeClient starts a stream and, if it breaks off after an event, takes it up again at once at another machine.
func resumeClient(ctx context.Context, w *world, t *resumeTally) {
	g := anyInTouch(w, nil)
	if g == nil {
		return
	}
	id := newID()
	first := w.stream(ctx, g, "/drafts/1", streamRequest{id: id, model: "m1", tokens: resumeTokens, deadline: 5 * time.Second})
	touched := g.inTouch()
	if touched {
		t.mu.Lock()
		t.sent++
		if first.events > 0 {
			t.begun++
		}
		t.mu.Unlock()
	}
	if first.complete || first.events == 0 {
		return
	}
	other := anyInTouch(w, g)
	if other == nil {
		return
	}
	again := newID()
	second := w.stream(ctx, other, "/drafts/1", streamRequest{id: again, model: "m1", resumes: id, last: first.last, tokens: resumeTokens, deadline: 4500 * time.Millisecond})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taken++
	if second.events > 0 || second.complete && second.status == 200 {
		t.wentOn++
	}
	for v := range second.versions {
		if !first.versions[v] {
			t.mixed++
		}
	}
	w.logf("stream %s broke off at %s after event %d; taken up as %s at %s: status %d, %d events, complete %v, err %v", id, g.name, first.last, again, other.name, second.status, second.events, second.complete, second.err)
}
