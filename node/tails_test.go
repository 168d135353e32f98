package node

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/control"
	"galenastair/follow"
	"galenastair/lease"
	"galenastair/planner"
	"galenastair/platform"
	"galenastair/quota"
	"galenastair/standin/metastore"
	"galenastair/stream"
)

// fakeLease is a lease that this instance has just acquired.
type fakeLease struct{}

func (fakeLease) OrderFence() (galenastair.Fence, bool) { return 0, false }
func (fakeLease) Holds() bool                           { return true }
func (fakeLease) ServesPeers() bool                     { return true }
func (fakeLease) FenceRejected(galenastair.Fence)       {}

func noVersions() (map[galenastair.ServiceName][]galenastair.SoftwareVersion, bool) {
	return nil, false
}

// A new leader must send tails before it knows the fleet size, which takes it some seconds.
// Without the tails every instance of a large fleet reads the store itself.
func TestTailsAreSentBeforeFleetIsCounted(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	server := httptest.NewServer(metastore.New().Handler())
	defer server.Close()
	loop := control.NewLoop()
	go func() { _ = loop.Run(ctx) }()
	p := planner.New("me", quota.Tolerance{Window: time.Second}, nil, fakeLease{}, loop)
	plannerDone := make(chan error, 1)
	go func() { plannerDone <- p.Run(ctx) }()
	var tail follow.Tail
	f := follow.New(platform.NewStore(server.Listener.Addr().String()), platform.ConfigurationTopic,
		recordingTail(&tail, func(galenastair.KeyedBatch, bool) {}))
	followerDone := make(chan error, 1)
	go func() { followerDone <- f.Run(ctx) }()
	for _, known := f.Age(); !known; _, known = f.Age() {
		time.Sleep(5 * time.Millisecond)
	}
	// the term begins with the planner's first round
	time.Sleep(300 * time.Millisecond)
	peers := peerServer{
		Planner: p, directory: &instanceDirectory{}, versions: &softwareVersions{log: stream.NewVersionLog(), registered: noVersions},
		topics: func() []topicState {
			return []topicState{{topic: platform.ConfigurationTopic, follower: f, tail: &tail}}
		},
		elector: lease.NewElector(nil, platform.LeaseTopic, lease.New(lease.Timing{}), "me"),
	}
	update, err := peers.Exchange(ctx, planner.Report{Instance: "i", Positions: map[galenastair.Topic]galenastair.Offset{platform.ConfigurationTopic: 0}})
	is.NoErr(err)
	is.Equal(update.QuotaAllocation.FleetSize, 0)
	is.Equal(len(update.Tails), 1)
	cancel()
	<-followerDone
	<-plannerDone
}
