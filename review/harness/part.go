package main

import (
	"fmt"
	"time"
)

const (
	badPart   = "bad0"
	soundPart = "50d0"
	// partCrashLimit is the number of crashes after which requests with the part may come to servers
	// maxPartRequests times more, from stableTime later on.
	partCrashLimit  = 5
	maxPartRequests = 3
	partWaves       = 5
	partPerWave     = 3
)

// sendDraft sends a stream request whose prompt has a shared part, a second part and one of its own.
func (f *fleet) sendDraft(id, part string, n int) answer {
	g := f.gateways[n%len(f.gateways)]
	q := request{id: id, method: "POST", path: "/drafts/1", body: "draft " + id, deadline: time.Now().Add(8 * time.Second),
		header: map[string]string{"Galenastair-Model": "m1", "Galenastair-Token-Usage": "100,20", "Galenastair-Prompt-Prefix": fmt.Sprintf("5a5a:40,%s:40,%x:20", part, 0x10000+n)}}
	f.rec.logf("%s with part %s is sent to %s", id, part, g.name)
	a := q.send(g.caller, func(int, string) {})
	f.rec.logf("%s got %v", id, a)
	return a
}

// playPart has three different requests with one part that crashes servers come every wavePeriod, beside
// sound requests that share their caller and their first part.
func playPart(f *fleet, trouble bool) (bool, error) {
	var crashes crashLog
	for i := range 4 {
		p := &replica{rec: f.rec, store: f.store, service: "writer", zone: "zone-a", version: "v1", model: "m1", events: 5, eventInterval: 50 * time.Millisecond,
			crashPart: badPart, downTime: serverDownTime, observeCrash: crashes.add}
		if err := p.start(fmt.Sprintf("writer-%d", i+1)); err != nil {
			return false, err
		}
	}
	configure(f.store, 3, []object{route("drafts", "stream", "writer", 8000, 3000, 1, false)})
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	part := soundPart
	if trouble {
		part = badPart
	}
	number := 0
	for wave := range partWaves {
		began := time.Now()
		for n := range partPerWave {
			number++
			f.sendDraft(fmt.Sprintf("draft-%d-%d", wave, n), part, number)
			time.Sleep(500 * time.Millisecond)
		}
		for wave < partWaves-1 && time.Since(began) < wavePeriod {
			number++
			f.sendDraft(fmt.Sprintf("sound-%d", number), soundPart, number)
			time.Sleep(500 * time.Millisecond)
		}
	}
	late := crashes.lateArrivals(partCrashLimit)
	f.rec.summaryf("%d servers crashed; requests with the part reached servers %d times later than %v after crash %d (at most %d are allowed)",
		len(crashes.arrivals), late, stableTime, partCrashLimit, maxPartRequests)
	return late > maxPartRequests, nil
}
