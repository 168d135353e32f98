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
)

// holding is the lease of an instance that has just got it.
type holding struct{}

func (holding) Order() (galenastair.Fence, bool) { return 0, false }
func (holding) Holds() bool                      { return true }
func (holding) Hosts() bool                      { return true }
func (holding) Refused(galenastair.Fence)        {}

// The lease has changed hands, and for the first seconds the new holder doesn't know how many
// instances there are. It told them nothing of what it read meanwhile, so that each of a
// large fleet asked the store for itself.
func TestTailsAreToldBeforeTheFleetIsCounted(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	server := httptest.NewServer(metastore.New().Handler())
	defer server.Close()
	loop := control.NewLoop()
	go func() { _ = loop.Run(ctx) }()
	p := planner.New("me", quota.Terms{Window: time.Second}, nil, holding{}, loop)
	planned := make(chan error, 1)
	go func() { planned <- p.Run(ctx) }()
	var tail follow.Tail
	f := follow.New(platform.NewStore(server.Listener.Addr().String()), platform.ConfigurationTopic,
		noting(&tail, func(galenastair.KeyedBatch, bool) {}))
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	for _, known := f.Age(); !known; _, known = f.Age() {
		time.Sleep(5 * time.Millisecond)
	}
	// its term begins with the planner's first round
	time.Sleep(300 * time.Millisecond)
	told := peerServer{p, func() []followed { return []followed{{topic: platform.ConfigurationTopic, follower: f, tail: &tail}} }, lease.NewElector(nil, platform.LeaseTopic, lease.New(lease.Bounds{}), "me"), nil, nil}
	news, err := told.Exchange(ctx, planner.Report{Instance: "i", Positions: map[galenastair.Topic]galenastair.Offset{platform.ConfigurationTopic: 0}})
	is.NoErr(err)
	is.Equal(news.Standing.Fleet, 0)
	is.Equal(len(news.Tails), 1)
	cancel()
	<-ended
	<-planned
}
