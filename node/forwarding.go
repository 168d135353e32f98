package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"galenastair"
	"galenastair/boottime"
	"galenastair/planner"
	"galenastair/timer"
)

// maxForwardTargets is the number of instances that the leader names to a partitioned one.
const maxForwardTargets = 4

// instanceDirectory is the leader's record of the instances that report to it. It names those to which
// partitioned ones may forward their requests, and those that record streams.
type instanceDirectory struct {
	regions map[galenastair.AvailabilityZone]galenastair.Region

	mu        sync.Mutex
	instances map[string]directoryEntry
	// recorderSets are the recorders of each region.
	recorderSets map[galenastair.Region]recorderSet
	prunedAt     boottime.Time
}

// directoryEntry is the last report of an instance.
type directoryEntry struct {
	zone            galenastair.AvailabilityZone
	region          galenastair.Region
	partitionedFrom []galenastair.ServiceName
	stopping        bool
	reportedAt      boottime.Time
}

// record applies a report.
func (d *instanceDirectory) record(now boottime.Time, r planner.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.instances == nil {
		d.instances = map[string]directoryEntry{}
	}
	d.prune(now)
	if r.Address != "" {
		d.instances[r.Address] = directoryEntry{r.Zone, d.regions[r.Zone], r.PartitionedFrom, r.Stopping, now}
	}
}

// prune removes instances that have stopped reporting. It does so rarely, as each instance of a large
// fleet reports several times per second.
func (d *instanceDirectory) prune(now boottime.Time) {
	if now.Sub(d.prunedAt) < reportTimeout {
		return
	}
	d.prunedAt = now
	maps.DeleteFunc(d.instances, func(_ string, i directoryEntry) bool { return i.isGone(now) })
}

func (i directoryEntry) isGone(now boottime.Time) bool { return now.Sub(i.reportedAt) > reportTimeout }

// targets returns some instances that may serve the requests to a service of an instance in a zone.
// They are of its region, so that no request leaves it.
func (d *instanceDirectory) targets(now boottime.Time, s galenastair.ServiceName, zone galenastair.AvailabilityZone) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for address, i := range d.instances {
		if !i.stopping && !i.isGone(now) && i.region == d.regions[zone] && !slices.Contains(i.partitionedFrom, s) {
			out = append(out, address)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxForwardTargets)]
}

// exchange records a report, and adds to the reply the recorders of streams and the targets for the
// services that the instance doesn't reach.
func (d *instanceDirectory) exchange(r planner.Report, u *planner.Update) {
	now := boottime.Now()
	d.record(now, r)
	u.StreamRecorders = d.recorders(now, r.Zone)
	for _, s := range r.PartitionedFrom {
		if u.ForwardTo == nil {
			u.ForwardTo = map[galenastair.ServiceName][]string{}
		}
		u.ForwardTo[s] = d.targets(now, s, r.Zone)
	}
}

// requestCounter counts the requests in progress.
type requestCounter struct{ count atomic.Int64 }

func (c *requestCounter) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.count.Add(1)
		defer c.count.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// drainInterval is how often a shutdown looks for requests in progress.
const drainInterval = 20 * time.Millisecond

// drain waits until no request is in progress or the context ends.
func (c *requestCounter) drain(ctx context.Context) {
	for c.count.Load() > 0 && timer.Wait(ctx, drainInterval) {
	}
}
