package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// minTakenUp is the number of streams from which the share that goes on is judged.
	minTakenUp = 12
	newStreams = 24
)

// playResume has all gateways killed while streams run at servers of two software versions, all of which
// stay. It judges the streams that are taken up again once the gateways are in touch.
func playResume(f *fleet, trouble bool) (bool, error) {
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		p := &replica{rec: f.rec, store: f.store, service: "writer", zone: "zone-a", version: version, model: "m1", events: streamEvents, eventInterval: streamInterval}
		if err := p.start(fmt.Sprintf("writer-%d", i+1)); err != nil {
			return false, err
		}
	}
	configure(f.store, 3, []object{route("drafts", "stream", "writer", 15000, 2000, 2, true)})
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	streams := make([]*resumedStream, versionStreams)
	var clients sync.WaitGroup
	for i := range streams {
		streams[i] = &resumedStream{}
		clients.Go(func() { f.runStream(i, streams[i]) })
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		if err := f.killAll(); err != nil {
			return false, err
		}
	}
	for !f.inTouch() {
		time.Sleep(readyProbePeriod)
	}
	fresh := make([]*resumedStream, newStreams)
	for i := range fresh {
		fresh[i] = &resumedStream{}
		clients.Go(func() { f.runStream(versionStreams+i, fresh[i]) })
		time.Sleep(200 * time.Millisecond)
	}
	clients.Wait()
	takenUp, wentOn, began, mixed := 0, 0, 0, 0
	for _, s := range streams {
		if s.takenUp {
			takenUp++
		}
		if s.wentOn {
			wentOn++
		}
		if len(s.versions) > 1 {
			mixed++
		}
	}
	for _, s := range fresh {
		if s.last > 0 {
			began++
		}
	}
	f.rec.summaryf("%d streams were taken up again at gateways in touch, %d of them went on; %d of %d new streams began; %d streams have events of two versions",
		takenUp, wentOn, began, newStreams, mixed)
	shareOn, shareNew := float64(wentOn)/float64(max(1, takenUp)), float64(began)/newStreams
	return takenUp >= minTakenUp && shareOn < shareNew/2, nil
}
