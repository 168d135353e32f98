package node

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/lease"
	"galenastair/peer/planning"
	"galenastair/planner"
	"galenastair/pool"
	"galenastair/settings"
	"galenastair/speed"
	"galenastair/standin/metastore"
)

// speedLeader is a leader that announces the speed factor of one process.
type speedLeader struct {
	planning.Planner
	factor  speed.Ratio
	newest  speed.Sequence
	reports []planner.Report
}

func (l *speedLeader) Exchange(_ context.Context, r planner.Report) (planner.Update, error) {
	l.reports = append(l.reports, r)
	return planner.Update{Speeds: speed.Update{Newest: l.newest, Factors: []speed.Factor{{Server: speed.KeyOf("engine-1", 1), Ratio: l.factor}}}}, nil
}

// newSpeedNode returns an instance without a reachable store, which knows one engine.
func newSpeedNode(t *testing.T, l settings.LoadHandling) *Node {
	t.Helper()
	store := metastore.New()
	h := httptest.NewServer(store.Handler())
	t.Cleanup(h.Close)
	store.Put("keyed.lease", "Leader", []byte(`{"Leader":"127.0.0.1:2","Fence":1,"Fleet":30}`))
	n := New(settings.Gateway{PeerAddress: "127.0.0.1:1", StoreAddress: h.Listener.Addr().String(), Load: l})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.elector.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	<-n.elector.Started()
	store.UpdateFaults(func(f *metastore.Faults) { f.Refuse = true })
	n.connectFollowers(ctx)
	n.pool.Set(time.Now(), pool.Server{ID: "engine-1", Service: "writer", Slots: 48, Incarnation: 1, Heartbeat: 1})
	return n
}

// followLeader has an instance learn of a new leader.
func followLeader(t *testing.T, n *Node, offset galenastair.Offset, l *speedLeader) {
	t.Helper()
	h := httptest.NewServer(planning.NewServer(l))
	t.Cleanup(h.Close)
	n.elector.Observe(lease.Record{Offset: offset, Leader: h.Listener.Addr().String()})
}

// answer has the engine answer one request.
func answer(p *pool.Pool) {
	q := pool.Query{Service: "writer", RequestHints: galenastair.RequestHints{Model: "m", PromptTokens: 2000}}
	now := time.Now()
	a := p.Begin(now, "engine-1", q)
	a.Started(now.Add(200 * time.Millisecond))
	a.End(now.Add(300*time.Millisecond), pool.Succeeded)
}

// Guards against observations that are not reported or reported twice, factors that are not applied, and
// a new leader that is asked by the numbers of the one before.
func TestInstanceSharesSpeedsWithTheLeader(t *testing.T) {
	is := is.New(t)
	first, second := &speedLeader{factor: speed.FromSteps(20), newest: 700}, &speedLeader{factor: speed.FromSteps(-12), newest: 500}
	n := newSpeedNode(t, settings.LoadHandling{ServerSpeeds: true})
	factor := func() float64 { return n.Status().BackendServers[0].SpeedFactor }
	is.Equal(factor(), 1.0)

	answer(n.pool)
	n.leaderClient.exchangeOnce(t.Context()) // without a leader the observation is lost
	for i, l := range []*speedLeader{first, second} {
		followLeader(t, n, galenastair.Offset(i+100), l)
		answer(n.pool)
		n.leaderClient.exchangeOnce(t.Context())
		n.leaderClient.exchangeOnce(t.Context())
		is.Equal(len(l.reports), 2)
		is.Equal(len(l.reports[0].SpeedObservations), 1)
		is.Equal(l.reports[0].SpeedObservations[0].Server, speed.KeyOf("engine-1", 1))
		is.Equal(len(l.reports[1].SpeedObservations), 0)
		is.Equal(l.reports[0].LastSpeed, speed.Sequence(0))
		is.Equal(l.reports[1].LastSpeed, l.newest)
		is.Equal(factor(), float64(l.factor))
	}
	n.leaderClient.handleFailure(errNoLeader)
	is.Equal(factor(), float64(second.factor)) // without a leader the last factors stay
}

// Guards against an instance that acts on speeds although the setting is off.
func TestNoSpeedsWithoutTheSetting(t *testing.T) {
	is := is.New(t)
	l := &speedLeader{factor: 2, newest: 700}
	n := newSpeedNode(t, settings.LoadHandling{})
	followLeader(t, n, 100, l)
	answer(n.pool)
	n.leaderClient.exchangeOnce(t.Context())
	is.Equal(len(l.reports), 1)
	is.Equal(len(l.reports[0].SpeedObservations), 0)
	is.Equal(n.Status().BackendServers[0].SpeedFactor, 1.0)
}
