package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/httpconn"
	"galenastair/partition"
	"galenastair/pool"
)

const (
	// probedServers is the size of the sample of a service's servers that a probe connects to.
	probedServers = 4
	// probeStagger is the time that a server has to accept before the next one is tried as well. A
	// probe of servers that can be reached costs one connection.
	probeStagger = 20 * time.Millisecond
	// probeInterval is the time between two probes of a partitioned instance.
	probeInterval = 250 * time.Millisecond
)

// partitionWatcher detects that this instance is partitioned from all backend servers of a service, and
// knows the instances that serve its requests meanwhile.
type partitionWatcher struct {
	pool  *pool.Pool
	conns *httpconn.Pool
	// leader returns the leader's peer address, empty if it is unknown or this instance.
	leader func() string
	logger log.Logger
	wake   chan struct{}

	mu       sync.Mutex
	services map[galenastair.ServiceName]*servicePartition
}

// servicePartition is what an instance knows of its links to the servers of a service.
type servicePartition struct {
	detector partition.Detector
	// targets are the instances that the leader has named, if named is set.
	targets []string
	named   bool
	// pending is closed once the requested probe has ended; nil if none is requested.
	pending chan struct{}
}

func newPartitionWatcher(p *pool.Pool, c *httpconn.Pool, leader func() string, logger log.Logger) *partitionWatcher {
	return &partitionWatcher{
		pool: p, conns: c, leader: leader, logger: logger, wake: make(chan struct{}, 1),
		services: map[galenastair.ServiceName]*servicePartition{},
	}
}

// Partitioned implements gateway.Peers.
func (w *partitionWatcher) Partitioned(s galenastair.ServiceName) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.services[s]
	return p != nil && p.detector.Partitioned()
}

// From returns the services from whose servers this instance is partitioned.
func (w *partitionWatcher) From() []galenastair.ServiceName {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []galenastair.ServiceName
	for name, p := range w.services {
		if p.detector.Partitioned() {
			out = append(out, name)
		}
	}
	return out
}

// Suspect implements gateway.Peers.
func (w *partitionWatcher) Suspect(s galenastair.ServiceName) { w.requestProbe(s) }

// Confirm implements gateway.Peers.
func (w *partitionWatcher) Confirm(ctx context.Context, s galenastair.ServiceName) bool {
	if done := w.requestProbe(s); done != nil {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	return w.Partitioned(s)
}

// Addresses implements gateway.Peers. As long as the leader has named none, it is asked to serve itself.
func (w *partitionWatcher) Addresses(s galenastair.ServiceName) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.services[s]; p != nil && p.named {
		out := slices.Clone(p.targets)
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		return out
	}
	if leader := w.leader(); leader != "" {
		return []string{leader}
	}
	return nil
}

// setTargets applies the instances that the leader has named for each service.
func (w *partitionWatcher) setTargets(targets map[galenastair.ServiceName][]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, addresses := range targets {
		if p := w.services[name]; p != nil {
			p.targets, p.named = addresses, true
		}
	}
}

// requestProbe requests a probe of a service unless there was one lately. It returns a channel that is
// closed once the probe has ended, or nil.
func (w *partitionWatcher) requestProbe(s galenastair.ServiceName) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.services[s]
	if p == nil {
		p = &servicePartition{}
		w.services[s] = p
	}
	if p.pending == nil {
		if !p.detector.ShouldProbe(time.Now()) {
			return nil
		}
		p.pending = make(chan struct{})
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return p.pending
}

// run probes services on request, and regularly while this instance is partitioned from them.
func (w *partitionWatcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		var retry <-chan time.Time
		if len(w.From()) > 0 {
			retry = time.After(probeInterval)
		}
		select {
		case <-w.wake:
		case <-retry:
		case <-ctx.Done():
			return ctx.Err()
		}
		w.probeAll(ctx)
	}
	return ctx.Err()
}

// probeAll probes the services for which a probe is requested, or from which this instance is
// partitioned, at the same time.
func (w *partitionWatcher) probeAll(ctx context.Context) {
	w.mu.Lock()
	due := maps.Clone(w.services)
	maps.DeleteFunc(due, func(_ galenastair.ServiceName, p *servicePartition) bool {
		return p.pending == nil && !p.detector.Partitioned()
	})
	w.mu.Unlock()
	var probes sync.WaitGroup
	for name, p := range due {
		probes.Go(func() { w.finishProbe(name, p, w.probe(ctx, w.pool.SampleAddresses(name, probedServers))) })
	}
	probes.Wait()
}

func (w *partitionWatcher) finishProbe(s galenastair.ServiceName, p *servicePartition, result partition.Probe) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := p.detector.RecordProbe(result)
	if changed || p.detector.Partitioned() {
		w.pool.ForgetFailures(s)
	}
	if changed {
		p.targets, p.named = nil, false
		w.logger.Log("event", "partition", "service", s, "partitioned", p.detector.Partitioned(), "tried", result.Tried)
	}
	if p.pending != nil {
		close(p.pending)
		p.pending = nil
	}
}

// probe connects to servers until the first one accepts.
func (w *partitionWatcher) probe(ctx context.Context, addresses []string) partition.Probe {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := partition.Probe{Tried: len(addresses)}
	connected := make(chan bool, len(addresses))
	left := 0
	for i := 0; (i < len(addresses) || left > 0) && !result.Connected; {
		var next <-chan time.Time
		if i < len(addresses) {
			address := addresses[i]
			go func() { connected <- w.connect(ctx, address) }()
			i, left = i+1, left+1
			next = time.After(probeStagger)
		}
		select {
		case ok := <-connected:
			left--
			result.Connected = ok
		case <-next:
		}
	}
	cancel()
	for range left {
		<-connected
	}
	return result
}

func (w *partitionWatcher) connect(ctx context.Context, address string) bool {
	c, err := w.conns.Dial(ctx, address)
	if err != nil {
		return false
	}
	c.Release()
	return true
}
