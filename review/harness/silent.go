package main

import (
	"fmt"
	"time"
)

const silentRequests = 30

// playSilent sends safe requests to a service with one ready server and two that have been draining for longer
// than drainTime. The ready one takes 15 ms at first and then 400 ms. It is no case of the review, as no rule
// names what it shows.
func playSilent(f *fleet, trouble bool) (bool, error) {
	var servers []*replica
	for i := range 3 {
		p := &replica{rec: f.rec, store: f.store, service: "app", zone: "zone-a", version: "v1", work: 15 * time.Millisecond}
		if err := p.start(fmt.Sprintf("app-%d", i+1)); err != nil {
			return false, err
		}
		servers = append(servers, p)
	}
	configure(f.store, 3, []object{route("reads", "safe", "app", 2000, 100, 2, false)})
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, p := range servers[1:] {
			p.drain()
		}
	} else {
		for _, p := range servers[1:] {
			p.leaveUnannounced()
		}
	}
	time.Sleep(drainTime + time.Second)
	f.sendReads("fast")
	servers[0].setWork(400 * time.Millisecond)
	failed := f.sendReads("slow")
	return failed > 0, nil
}

// sendReads sends safe requests one after the other and returns how many were not answered with 200.
func (f *fleet) sendReads(name string) int {
	failed := 0
	for n := range silentRequests {
		q := request{id: fmt.Sprintf("%s-%d", name, n), method: "GET", path: fmt.Sprintf("/reads/%d", n), deadline: time.Now().Add(1500 * time.Millisecond)}
		a := q.send(f.gateways[n%len(f.gateways)].caller, nil)
		f.rec.logf("%s got %v: %s", q.id, a, a.body)
		if a.status != 200 {
			failed++
		}
	}
	f.rec.summaryf("%s server: %d of %d safe requests were not answered with 200", name, failed, silentRequests)
	return failed
}
