package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	poisonBody = "notice-4711"
	soundBody  = "notice-4712"
	// crashLimit is the number of crashes after which a request may come to servers maxPoisonRetries times
	// more, from stableTime later on.
	crashLimit       = 3
	maxPoisonRetries = 3
	poisonWaves      = 5
	poisonPerWave    = 2
	// wavePeriod is the time after which the senders of a request that failed send it again.
	wavePeriod = 22 * time.Second
	// serverDownTime is the time after which a crashed server is back.
	serverDownTime = 2 * time.Second
	soundInterval  = 50 * time.Millisecond
)

// crashLog collects the arrivals of crashing requests at servers.
type crashLog struct {
	mu       sync.Mutex
	arrivals []run
}

func (c *crashLog) add(r run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, r)
}

// lateArrivals returns how many came later than stableTime after the given number of crashes.
func (c *crashLog) lateArrivals(crashes int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.arrivals) < crashes {
		return 0
	}
	limit, late := c.arrivals[crashes-1].at.Add(stableTime), 0
	for _, a := range c.arrivals {
		if a.at.After(limit) {
			late++
		}
	}
	return late
}

// soundLoad sends sound requests, each of which may run once, until stop is closed, and counts the failed.
func (f *fleet) soundLoad(stop chan struct{}) (sent, failed int) {
	var mu sync.Mutex
	var pending sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-stop:
			pending.Wait()
			return sent, failed
		case <-time.After(soundInterval):
		}
		sent++
		pending.Go(func() {
			q := request{id: fmt.Sprintf("sound-%d", n), method: "POST", path: fmt.Sprintf("/acks/%d", n), body: fmt.Sprintf("ack %d", n), deadline: time.Now().Add(1500 * time.Millisecond)}
			g := f.gateways[n%len(f.gateways)]
			if a := q.send(g.caller, nil); a.status != 200 || a.err != nil {
				f.rec.logf("%s sent to %s got %v", q.id, g.name, a)
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
}

// playPoison has a request that crashes the servers that run it come twice every wavePeriod.
func playPoison(f *fleet, trouble bool) (bool, error) {
	var crashes crashLog
	for i := range 4 {
		p := &replica{rec: f.rec, store: f.store, service: "app", zone: "zone-a", version: "v1", work: 100 * time.Millisecond,
			crashBody: poisonBody, downTime: serverDownTime}
		p.observeCrash = crashes.add
		if err := p.start(fmt.Sprintf("app-%d", i+1)); err != nil {
			return false, err
		}
	}
	configure(f.store, 3, []object{route("acks", "unsafe", "app", 800, 100, 1, false)})
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	body := soundBody
	if trouble {
		body = poisonBody
	}
	stop, done := make(chan struct{}), make(chan struct{})
	sent, failed := 0, 0
	go func() {
		sent, failed = f.soundLoad(stop)
		close(done)
	}()
	for wave := range poisonWaves {
		began := time.Now()
		for n := range poisonPerWave {
			q := request{id: fmt.Sprintf("job-%d-%d", wave, n), method: "POST", path: "/acks/4711", body: body, deadline: time.Now().Add(1500 * time.Millisecond)}
			g := f.gateways[(wave+n)%len(f.gateways)]
			f.rec.logf("%s is sent to %s", q.id, g.name)
			f.rec.logf("%s got %v", q.id, q.send(g.caller, nil))
			time.Sleep(time.Second)
		}
		if wave < poisonWaves-1 {
			time.Sleep(wavePeriod - time.Since(began))
		}
	}
	close(stop)
	<-done
	late := crashes.lateArrivals(crashLimit)
	f.rec.summaryf("%d servers crashed; the request reached servers %d times later than %v after crash %d (at most %d retries are allowed)",
		len(crashes.arrivals), late, stableTime, crashLimit, maxPoisonRetries)
	f.rec.summaryf("%d of %d sound requests failed", failed, sent)
	return late > maxPoisonRetries, nil
}
