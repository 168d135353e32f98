package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frozenGateways = 3
	frozenReplicas = 4
	// frozenRate is the number of requests a second at each machine.
	frozenRate     = 45
	frozenDeadline = 4 * time.Second
	// frozenFor is how long a machine stands still, and frozenDown how long the replica is away that crashes
	// meanwhile.
	frozenFor  = 3 * time.Second
	frozenDown = 2 * time.Second
)

// frozenCase has a machine freeze, and a replica that answers it crash and start again meanwhile. The answers have
// neither a length nor chunks. It counts those that look complete without their last piece.
func frozenCase(ctx context.Context, w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	var replicas []*replica
	for i := range frozenReplicas {
		r := &replica{w: w, service: "app", zone: fmt.Sprintf("zone-%d", i%2+1), version: "v1", slots: 64, queue: 24, first: 20 * time.Millisecond, gap: 80 * time.Millisecond, pieces: 8}
		if err := r.open(); err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	err := w.configure([]map[string]any{{"name": "acks", "host": "a.example", "path-prefix": "/acks/", "route-type": "unsafe", "timeout-ms": 4000, "target-latency-ms": 1000,
		"priority": 2, "service": "app", "attempts": 1, "public": false}}, []map[string]any{{"name": "app", "health-path": "/health", "max-conns": 440}})
	if err != nil {
		return false, err
	}
	if err := w.addGateways(frozenGateways, 2); err != nil {
		return false, err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	start := time.Now()
	const length = 50 * time.Second
	if w.trouble {
		go frozenTrouble(w, replicas, start)
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	complete, short, other := 0, 0, 0
	for time.Since(start) < length {
		for _, g := range w.gateways {
			clients.Add(1)
			go func() {
				defer clients.Done()
				whole, status := w.frozenCall(ctx, g)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case status != http.StatusOK:
					other++
				case whole:
					complete++
				default:
					short++
				}
			}()
		}
		time.Sleep(time.Second / frozenRate)
	}
	clients.Wait()
	w.logf("%d whole answers, %d that end early and look complete, %d others", complete, short, other)
	if complete < 500 {
		return false, errNotRun
	}
	return short > 0, nil
}

// frozenTrouble freezes a machine four times, and has a replica crash in its sleep.
func frozenTrouble(w *world, replicas []*replica, start time.Time) {
	for i := range 4 {
		time.Sleep(time.Until(start.Add(time.Duration(4+i*11) * time.Second)))
		g, r := w.gateways[i%len(w.gateways)], replicas[i%len(replicas)]
		w.signal(g, syscall.SIGSTOP)
		thawed := time.Now().Add(frozenFor)
		time.Sleep(100 * time.Millisecond)
		w.logf("replica %s crashes", r.id)
		if err := r.restart("v1", frozenDown); err != nil {
			w.logf("restart: %v", err)
		}
		time.Sleep(time.Until(thawed))
		w.signal(g, syscall.SIGCONT)
	}
}

// frozenCall sends a request, and reports whether the answer has its last piece.
func (w *world) frozenCall(ctx context.Context, g *gateway) (whole bool, status int) {
	ctx, cancel := context.WithTimeout(ctx, frozenDeadline)
	defer cancel()
	id, sent := newID(), time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+"/acks/1", strings.NewReader("acknowledgement "+id))
	if err != nil {
		return false, 0
	}
	req.Host = "a.example"
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Galenastair-Attempt-Id", id)
	req.Header.Set("Galenastair-Deadline-Ms", "4000")
	var data []byte
	resp, err := transport.RoundTrip(req)
	if err == nil {
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err == nil {
		status = resp.StatusCode
	}
	whole = strings.HasSuffix(string(data), lastPiece)
	w.logf("sent %s at %.3f to %s: status %d, %d bytes, last piece %v, err %v", id, sent.Sub(w.start).Seconds(), g.name, status, len(data), whole, err)
	return whole, status
}
