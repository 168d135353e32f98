package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/catalog"
	"galenastair/settings"
)

// All of a large fleet are killed; each starts with the part of one of a few instances, and
// together they grant many times the contract until a leader is there.
func TestStartedInstanceGrantsNothingByItself(t *testing.T) {
	is := is.New(t)
	n := New(settings.Gateway{PeerAddress: "127.0.0.1:1", Bounds: settings.Bounds{QuotaWindow: 8 * time.Second, QuotaOver: 0.1, QuotaSlack: 17000}})
	n.share.SetContracts(time.Now(), catalog.New(1, catalog.Limits{}, nil, nil, []*catalog.Organisation{{Name: "org", Rate: 400000, Burst: 400000, InTokens: true}}))
	now := time.Now()
	n.share.MissLender(now)
	for i := range 100 {
		is.True(!n.share.Take(now.Add(time.Duration(i)*20*time.Millisecond), "org", 1000))
	}
}
