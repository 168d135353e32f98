package node

import (
	"testing"
	"time"

	"galenastair"
	"galenastair/standin/replica"
)

// startRegion starts as many nodes as a region has recorders, in one availability zone.
func (c *cluster) startRegion(region galenastair.Region, zone galenastair.AvailabilityZone) []*runningNode {
	out := make([]*runningNode, recorderCount)
	for i := range out {
		s := c.newSettings()
		s.Region, s.AvailabilityZone = region, zone
		out[i] = c.startNodeWith(s)
	}
	for _, n := range out {
		c.waitForVersions(n)
	}
	return out
}

// Guards against streams that are refused, or go on at another software version, as the recorders of the
// region where they are resumed do not know them.
func TestStreamsGoOnInAnotherRegion(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 0, "e3@v2", "e4@v2")
	for _, r := range c.replicas {
		r.UpdateFaults(func(f *replica.Faults) { f.EventInterval = 150 * time.Millisecond })
	}
	resuming, beginning := c.startRegion("r2", "z2"), c.startRegion("r", "z1")
	time.Sleep(4 * recordersTTL)
	ids := c.beginStreams(beginning[recorderCount-1])
	time.Sleep(2 * minFlushInterval)
	c.checkResumes(ids, resuming...)
}
