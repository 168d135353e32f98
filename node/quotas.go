package node

import (
	"context"
	"time"

	"galenastair"
	"galenastair/account"
	"galenastair/boottime"
	"galenastair/quota"
)

// ownerDiscoveryTime is the approximate time until a new owner is assigned to an organisation
// whose owner has failed, and until a new instance knows the owners.
const ownerDiscoveryTime = 1500 * time.Millisecond

// quotas charges requests to organisations. In a large fleet the organisation's owner is charged;
// otherwise this instance spends its own quota and borrows what is missing from the lender.
type quotas struct {
	*quota.Share
	accounts     *account.Accounts
	leaderClient *exchange
}

// Take charges an organisation locally. It returns false if another instance has to be asked.
func (q quotas) Take(now time.Time, o galenastair.Organisation, cost float64) bool {
	if q.accounts.Table().Version != 0 {
		return !q.accounts.Limited(o)
	}
	return q.Share.Take(now, o, cost)
}

// Borrow charges an organisation with a call to its owner or to the lender.
func (q quotas) Borrow(ctx context.Context, o galenastair.Organisation, cost float64) bool {
	if t := q.accounts.Table(); t.Version != 0 {
		return q.charge(ctx, t.Owner(o), o, cost)
	}
	now := time.Now()
	shortfall, ok := q.Lacks(now, o, cost)
	if !ok || q.Alone() {
		return false
	}
	amount, err := q.leaderClient.borrow(ctx, quota.Ask{Organisation: o, Amount: shortfall})
	if err != nil {
		q.leaderClient.logger.Log("event", "borrow", "organisation", o, "err", err)
		q.MissLender(time.Now())
		return q.Retake(time.Now(), o, cost)
	}
	q.Lent(time.Now(), o, amount)
	return amount > 0 && q.Retake(time.Now(), o, cost)
}

// charge charges an organisation at its owner, and records a denial or failure so that the
// following requests are refused without a call.
func (q quotas) charge(ctx context.Context, owner string, o galenastair.Organisation, cost float64) bool {
	now := boottime.Now()
	if q.accounts.Denied(now, o) {
		return false
	}
	if owner == "" {
		q.accounts.Deny(now, o, ownerDiscoveryTime)
		return false
	}
	v, err := q.leaderClient.charge(ctx, owner, o, cost)
	if err != nil || !v.Owned {
		q.leaderClient.logger.Log("event", "charge", "organisation", o, "owner", owner, "owned", v.Owned, "err", err)
		q.accounts.Deny(now, o, ownerDiscoveryTime)
		return false
	}
	if !v.Granted {
		q.accounts.Deny(now, o, v.Wait)
	}
	return v.Granted
}

// Wait estimates the time until an organisation over its quota can send a request again.
func (q quotas) Wait(o galenastair.Organisation, cost float64) time.Duration {
	if q.Told() == 0 {
		return ownerDiscoveryTime
	}
	return max(q.accounts.Wait(boottime.Now(), o), q.Share.Wait(o, cost))
}

func (c *exchange) charge(ctx context.Context, owner string, o galenastair.Organisation, cost float64) (account.Verdict, error) {
	if owner == c.address {
		return c.accounts.Charge(boottime.Now(), o, cost), nil
	}
	v, known, err := c.client.Charge(ctx, owner, o, cost, c.elector.Known())
	if err == nil {
		c.elector.Learn(known)
	}
	return v, err
}

func (c *exchange) borrow(ctx context.Context, a quota.Ask) (float64, error) {
	leader, isSelf := c.leader()
	switch {
	case isSelf:
		return c.localPlanner.Borrow(ctx, a)
	case leader == "":
		return 0, errNoLeader
	}
	return c.client.Borrow(ctx, leader, a)
}
