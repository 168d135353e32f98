package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/catalog"
	"galenastair/settings"
)

// A new instance must grant nothing before a leader answers. When all instances of a large fleet
// restarted, each used to grant the fraction of an instance of a small fleet, and together they
// granted many times the contract until there was a leader.
func TestNewInstanceGrantsNothingWithoutLeader(t *testing.T) {
	is := is.New(t)
	n := New(settings.Gateway{PeerAddress: "127.0.0.1:1", Bounds: settings.Bounds{QuotaWindow: 8 * time.Second, QuotaOver: 0.1, QuotaSlack: 17000}})
	n.borrower.SetContracts(time.Now(), catalog.New(1, catalog.Limits{}, nil, nil, []*catalog.Organisation{{Name: "org", Rate: 400000, Burst: 400000, CountsTokens: true}}))
	now := time.Now()
	n.borrower.ReportLenderUnavailable(now)
	for i := range 100 {
		is.True(!n.borrower.Take(now.Add(time.Duration(i)*20*time.Millisecond), "org", 1000))
	}
}
