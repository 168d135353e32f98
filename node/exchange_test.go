package node

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/account"
	"galenastair/lease"
	"galenastair/peer/planning"
	"galenastair/settings"
	"galenastair/standin/metastore"
)

// informedPeer is an instance that knows the newest record of the lease.
type informedPeer struct {
	planning.Planner
	latest lease.Record
}

func (p informedPeer) Charge(galenastair.Organisation, float64, lease.Record) (account.ChargeResult, lease.Record) {
	return account.ChargeResult{}, p.latest
}

// Guards against an instance that the store turns away and that refuses its callers, because it
// does not learn of the new leader, whose word on the configuration it could go by.
func TestInstanceWithoutStoreLearnsOfANewLeaderFromPeers(t *testing.T) {
	is := is.New(t)
	const next = "10.0.0.9:1"
	store := metastore.New()
	h := httptest.NewServer(store.Handler())
	defer h.Close()
	store.Put("keyed.lease", "Leader", []byte(`{"Leader":"127.0.0.1:2","Fence":1,"Fleet":30}`))
	peer := httptest.NewServer(planning.NewServer(informedPeer{latest: lease.Record{Offset: 5, Leader: next}}))
	defer peer.Close()
	n := New(settings.Gateway{PeerAddress: "127.0.0.1:1", StoreAddress: h.Listener.Addr().String()})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.elector.Run(ctx) }()
	<-n.elector.Started()
	store.UpdateFaults(func(f *metastore.Faults) { f.Refuse = true })
	is.Equal(n.elector.Leader(), "127.0.0.1:2")
	n.connectFollowers(ctx)
	quotas{n.borrower, n.accounts, n.leaderClient}.setOwner(peer.Listener.Addr().String())
	n.leaderClient.exchangeOnce(t.Context())
	is.Equal(n.elector.Leader(), next)
	cancel()
	<-ended
}
