package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/account"
	"galenastair/boottime"
	"galenastair/catalog"
	"galenastair/settings"
)

const testRate = 400000

// newQuotas returns the quotas of an instance that has just started, with one organisation, "org".
func newQuotas() quotas {
	n := New(settings.Gateway{PeerAddress: "127.0.0.1:1", Bounds: settings.Bounds{QuotaWindow: 8 * time.Second, QuotaOver: 0.1, QuotaSlack: 17000}})
	c := catalog.New(1, catalog.Limits{}, nil, nil, []*catalog.Organisation{{Name: "org", Rate: testRate, Burst: testRate, CountsTokens: true}})
	n.borrower.SetContracts(time.Now(), c)
	n.accounts.SetContracts(c)
	return quotas{n.borrower, n.accounts, n.leaderClient}
}

func (q quotas) setOwner(address string) {
	owners := make([]string, account.ShardCount)
	for i := range owners {
		owners[i] = address
	}
	q.accounts.SetTable(account.Table{Version: 1, Owners: owners})
}

func (q quotas) confirm() {
	now := boottime.Now()
	q.accounts.ConfirmGrants(now, now, []account.Grant{{Shard: account.ShardOf("org")}})
}

// Guards against a fleet that refuses its callers as over their quotas after a restart, until the
// instances have heard who keeps the accounts.
func TestStartedInstanceHoldsRequestsUntilQuotasAreKnown(t *testing.T) {
	is := is.New(t)
	q := newQuotas()
	time.AfterFunc(150*time.Millisecond, func() {
		q.setOwner("127.0.0.1:1")
		q.confirm()
		q.leaderClient.quotaKnown.finish()
	})
	is.True(q.Borrow(t.Context(), "org", 1))
}

// Guards against a refusal while an owner that was just assigned does not know of it yet.
func TestChargeIsRepeatedUntilTheOwnerKnowsOfIt(t *testing.T) {
	is := is.New(t)
	q := newQuotas()
	q.leaderClient.quotaKnown.finish()
	q.setOwner("127.0.0.1:1")
	time.AfterFunc(150*time.Millisecond, q.confirm)
	is.True(q.Borrow(t.Context(), "org", 1))
}

// Guards against requests that are held although no owner answers: they are refused within a bound.
func TestChargeWithoutAnOwnerIsRefusedSoon(t *testing.T) {
	is := is.New(t)
	q := newQuotas()
	q.leaderClient.quotaKnown.finish()
	q.setOwner("")
	began := time.Now()
	is.True(!q.Borrow(t.Context(), "org", 1))
	is.True(time.Since(began) < 2*maxOwnerWait)
}

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
