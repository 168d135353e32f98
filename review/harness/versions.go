package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	versionStreams   = 24
	streamEvents     = 40
	streamInterval   = 150 * time.Millisecond
	streamDeadline   = 15 * time.Second
	maxMixedStreams  = 2
	clientTries      = 5
	readyProbePeriod = 100 * time.Millisecond
	// firstBackoff is the wait before a client's second try, which doubles with each further one.
	firstBackoff = 500 * time.Millisecond
)

// resumedStream is a stream as its client received it, over all tries.
type resumedStream struct {
	mu       sync.Mutex
	versions []string
	last     int
	complete bool
	// takenUp is set once the client has taken the stream up again at a gateway in touch, and wentOn
	// once such a try has brought an event.
	takenUp, wentOn bool
}

func (s *resumedStream) add(id int, data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = id
	version := strings.Fields(data)[3]
	if !slices.Contains(s.versions, version) {
		s.versions = append(s.versions, version)
	}
}

// runStream has a client receive a stream. When it breaks off, the client takes it up again at a gateway
// that the load balancer uses, until its deadline.
func (f *fleet) runStream(n int, s *resumedStream) {
	deadline := time.Now().Add(streamDeadline)
	first := ""
	for try := 1; try <= clientTries && time.Now().Before(deadline); try++ {
		g := f.gateways[(n+try)%len(f.gateways)]
		for !f.isReady(g) && time.Now().Before(deadline) {
			time.Sleep(readyProbePeriod)
		}
		q := request{id: fmt.Sprintf("stream-%d-try-%d", n, try), method: "POST", path: "/drafts/1", body: "summary", deadline: deadline,
			header: map[string]string{"Galenastair-Model": "m1", "Galenastair-Token-Usage": "100,80", "Galenastair-Prompt-Prefix": fmt.Sprintf("a1:50,%x:50", 0x1000+n)}}
		if s.last > 0 {
			q.header["Last-Event-Id"] = fmt.Sprint(s.last)
			q.header["Resumes"] = first
		}
		f.rec.logf("%s is sent to %s after event %d, resumes %q", q.id, g.name, s.last, first)
		before := s.last
		inTouch := before > 0 && f.inTouch()
		a := q.send(g.caller, s.add)
		s.takenUp = s.takenUp || inTouch
		s.wentOn = s.wentOn || inTouch && s.last > before
		f.rec.logf("%s got %v, events %d to %d, versions so far %v", q.id, a, before+1, s.last, s.versions)
		if first == "" && s.last > 0 {
			first = q.id
		}
		if s.last == streamEvents {
			s.complete = true
			return
		}
		backoff := firstBackoff << (try - 1)
		time.Sleep(max(backoff, min(a.retryAfter, time.Until(deadline)/3)))
	}
}

// playVersions has all gateways killed while streams run that began at the last servers of a software
// version, whose entries have been removed.
func playVersions(f *fleet, trouble bool) (bool, error) {
	writer := func(version string) *replica {
		return &replica{rec: f.rec, store: f.store, service: "writer", zone: "zone-a", version: version, model: "m1", events: streamEvents, eventInterval: streamInterval}
	}
	old := []*replica{writer("v1"), writer("v1")}
	for i, p := range old {
		if err := p.start(fmt.Sprintf("old-%d", i+1)); err != nil {
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
	time.Sleep(500 * time.Millisecond)
	for i := range 2 {
		if err := writer("v2").start(fmt.Sprintf("new-%d", i+1)); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	for _, p := range old {
		p.leaveUnannounced()
	}
	time.Sleep(time.Second)
	if trouble {
		if err := f.killAll(); err != nil {
			return false, err
		}
	}
	clients.Wait()
	mixed, complete := 0, 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			mixed++
		}
		if s.complete {
			complete++
		}
	}
	f.rec.summaryf("%d streams, %d complete, %d with events of two software versions (at most %d are allowed)", len(streams), complete, mixed, maxMixedStreams)
	return mixed > maxMixedStreams, nil
}
