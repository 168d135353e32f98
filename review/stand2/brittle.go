package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	brittleGateways = 6
	brittleReplicas = 4
	brittleSlots    = 6
	// brittleQueue is how many may wait at a replica, and brittleShortQueue how many while it is brittle.
	brittleQueue      = 24
	brittleShortQueue = 6
	brittleWork       = 60 * time.Millisecond
	// brittleBase is half of what the replicas can serve, and brittleBurst the largest burst of the site file.
	brittleBase  = 200.0
	brittleBurst = 2.9
)

// brittleLimit is the number of requests that a replica can turn away in a second.
func brittleLimit() int {
	if n, err := strconv.Atoi(os.Getenv("LIMIT")); err == nil {
		return n
	}
	return 4
}

// brittleReplica counts what it rejects and falls over as the pages say.
type brittleReplica struct {
	*replica
	mu      sync.Mutex
	rejects []time.Time
	falls   int
	lost    int
}

// brittleCase has the replicas of a service be brittle while many users come at once.
func brittleCase(ctx context.Context, w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	limit := brittleLimit()
	var brittle struct {
		sync.Mutex
		on    bool
		since time.Time
	}
	isBrittle := func(d time.Duration) bool {
		brittle.Lock()
		defer brittle.Unlock()
		return brittle.on && time.Since(brittle.since) >= d
	}
	var replicas []*brittleReplica
	for i := range brittleReplicas {
		b := &brittleReplica{}
		b.replica = &replica{w: w, service: "app", zone: []string{"zone-1", "zone-2", "zone-3", "zone-4"}[i], version: "v1", slots: brittleSlots, queue: brittleQueue, first: brittleWork}
		b.extra = func(h http.Header) {
			if isBrittle(0) {
				h.Set("Server-Brittle", strconv.Itoa(limit))
			}
		}
		b.declined = func(*replica) {
			b.mu.Lock()
			defer b.mu.Unlock()
			now := time.Now()
			b.rejects = append(b.rejects, now)
			n := 0
			for j := len(b.rejects) - 1; j >= 0 && now.Sub(b.rejects[j]) < time.Second; j-- {
				n++
			}
			if n > limit && isBrittle(stable) {
				b.rejects = nil
				b.falls++
				w.logf("replica %s has turned away %d requests in a second, %d were running and %d waiting", b.id, n, b.running, b.waiting)
				go func() {
					b.crash()
					time.Sleep(3 * time.Second)
					_ = b.open()
				}()
			}
		}
		if err := b.open(); err != nil {
			return false, err
		}
		replicas = append(replicas, b)
	}
	err := w.configure([]map[string]any{{"name": "reads", "host": "a.example", "path-prefix": "/reads/", "route-type": "safe", "timeout-ms": 1500, "target-latency-ms": 300,
		"priority": 2, "service": "app", "attempts": 2, "public": false}}, []map[string]any{{"name": "app", "health-path": "/health", "max-conns": 440}})
	if err != nil {
		return false, err
	}
	if err := w.addGateways(brittleGateways, 4); err != nil {
		return false, err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	start := time.Now()
	const length = 40 * time.Second
	sent := 0
	for time.Since(start) < length {
		at := time.Since(start)
		rate := brittleBase
		if at > 5*time.Second && w.trouble {
			brittle.Lock()
			if !brittle.on {
				brittle.on, brittle.since = true, time.Now()
				w.logf("the replicas say that they are brittle: %d", limit)
			}
			brittle.Unlock()
		}
		if isBrittle(stable) {
			for _, b := range replicas {
				b.replica.mu.Lock()
				b.queue = brittleShortQueue
				b.replica.mu.Unlock()
			}
		}
		for _, burst := range []time.Duration{12 * time.Second, 22 * time.Second, 32 * time.Second} {
			if at > burst && at < burst+4*time.Second {
				rate *= brittleBurst
			}
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			s := w.call(ctx, w.gateways[rand.IntN(len(w.gateways))], http.MethodGet, "/reads/"+newID(), newID(), 1500*time.Millisecond)
			mu.Lock()
			statuses[s]++
			mu.Unlock()
		}()
		sent++
		time.Sleep(time.Until(start.Add(at + time.Duration(float64(time.Second)/rate))))
	}
	clients.Wait()
	falls := 0
	for _, b := range replicas {
		falls += b.falls
	}
	w.logf("%d requests sent; answers by status: %v", sent, statuses)
	w.logf("the replicas fell over %d times; the rule allows 2 + %d/10", falls, brittleReplicas)
	if statuses[200] < 1000 {
		return false, errNotRun
	}
	return float64(falls) > 2+0.1*brittleReplicas, nil
}
