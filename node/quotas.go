package node

import (
	"context"
	"time"

	"galenastair"
	"galenastair/account"
	"galenastair/boottime"
	"galenastair/quota"
)

// ownerTime is about what it takes until an organisation whose owner is lost has another, or
// an instance that has started knows it.
const ownerTime = 1500 * time.Millisecond

// quotas charges organisations: at their owners in a large fleet, else by borrowing what is
// missing from the one lender.
type quotas struct {
	*quota.Share
	accounts *account.Accounts
	exchange *exchange
}

// Take charges an organisation here; false if another instance must be asked.
func (q quotas) Take(now time.Time, o galenastair.Organisation, cost float64) bool {
	if q.accounts.Table().Version != 0 {
		return !q.accounts.Limited(o)
	}
	return q.Share.Take(now, o, cost)
}

// Borrow charges an organisation by a call to another instance.
func (q quotas) Borrow(ctx context.Context, o galenastair.Organisation, cost float64) bool {
	if t := q.accounts.Table(); t.Version != 0 {
		return q.charge(ctx, t.Owner(o), o, cost)
	}
	now := time.Now()
	lacks, ok := q.Lacks(now, o, cost)
	if !ok || q.Alone() {
		return false
	}
	n, err := q.exchange.borrow(ctx, quota.Ask{Organisation: o, Amount: lacks})
	if err != nil {
		q.exchange.logger.Log("event", "borrow", "organisation", o, "err", err)
		q.MissLender(time.Now())
		return q.Retake(time.Now(), o, cost)
	}
	q.Lent(time.Now(), o, n)
	return n > 0 && q.Retake(time.Now(), o, cost)
}

// charge asks an organisation's owner.
func (q quotas) charge(ctx context.Context, owner string, o galenastair.Organisation, cost float64) bool {
	now := boottime.Now()
	if q.accounts.Denied(now, o) {
		return false
	}
	if owner == "" {
		q.accounts.Deny(now, o, ownerTime)
		return false
	}
	v, err := q.exchange.charge(ctx, owner, o, cost)
	if err != nil || !v.Owned {
		q.exchange.logger.Log("event", "charge", "organisation", o, "owner", owner, "owned", v.Owned, "err", err)
		q.accounts.Deny(now, o, ownerTime)
		return false
	}
	if !v.Granted {
		q.accounts.Deny(now, o, v.Wait)
	}
	return v.Granted
}

// Wait foretells when an organisation over its quota has room for a request.
func (q quotas) Wait(o galenastair.Organisation, cost float64) time.Duration {
	if q.Told() == 0 {
		return ownerTime
	}
	return max(q.accounts.Wait(boottime.Now(), o), q.Share.Wait(o, cost))
}

func (x *exchange) charge(ctx context.Context, owner string, o galenastair.Organisation, cost float64) (account.Verdict, error) {
	if owner == x.address {
		return x.accounts.Charge(boottime.Now(), o, cost), nil
	}
	v, known, err := x.client.Charge(ctx, owner, o, cost, x.elector.Known())
	if err == nil {
		x.elector.Learn(known)
	}
	return v, err
}

func (x *exchange) borrow(ctx context.Context, a quota.Ask) (float64, error) {
	leader, own := x.at()
	switch {
	case own:
		return x.local.Borrow(ctx, a)
	case leader == "":
		return 0, errNoLeader
	}
	return x.client.Borrow(ctx, leader, a)
}
