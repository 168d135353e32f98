package node

import (
	"context"
	"sync"
	"time"

	"galenastair"
	"galenastair/account"
	"galenastair/boottime"
	"galenastair/quota"
	"galenastair/timer"
)

// ownerDiscoveryTime is the approximate time until a new owner is assigned to an organisation
// whose owner has failed, and until a new instance knows the owners.
const ownerDiscoveryTime = 1500 * time.Millisecond

const (
	// quotaStartTimeout is how long after its start an instance holds requests that it cannot charge
	// yet, because no leader has told it how the quotas are shared. A leader that is lost with all
	// other instances is replaced within that time.
	quotaStartTimeout = 2 * time.Second
	// An owner that has just been assigned or restarted learns of it with its next exchange: a
	// charge that it does not accept is repeated for maxOwnerWait.
	maxOwnerWait       = 500 * time.Millisecond
	ownerRetryInterval = 100 * time.Millisecond
)

// quotas charges requests to organisations. In a large fleet the organisation's owner is charged;
// otherwise this instance spends its own quota and borrows what is missing from the lender.
type quotas struct {
	*quota.Borrower
	accounts     *account.Accounts
	leaderClient *leaderClient
}

// Take charges an organisation locally. It returns false if another instance has to be asked.
func (q quotas) Take(now time.Time, o galenastair.Organisation, cost float64) bool {
	if q.accounts.Table().Version != 0 {
		return !q.accounts.IsLimited(o)
	}
	return q.Borrower.Take(now, o, cost)
}

// Borrow charges an organisation with a call to its owner or to the lender.
func (q quotas) Borrow(ctx context.Context, o galenastair.Organisation, cost float64) bool {
	q.leaderClient.quotaKnown.wait(ctx)
	if q.accounts.Table().Version != 0 {
		return q.charge(ctx, o, cost)
	}
	now := time.Now()
	shortfall, ok := q.Shortfall(now, o, cost)
	if !ok || q.InFallback() {
		return false
	}
	amount, err := q.leaderClient.borrow(ctx, quota.LoanRequest{Organisation: o, Amount: shortfall})
	if err != nil {
		q.leaderClient.logger.Log("event", "borrow", "organisation", o, "err", err)
		q.ReportLenderUnavailable(time.Now())
		return q.RetryTake(time.Now(), o, cost)
	}
	q.AddLoan(time.Now(), o, amount)
	return amount > 0 && q.RetryTake(time.Now(), o, cost)
}

// charge charges an organisation at its owner, and records a denial or failure so that the
// following requests are refused without a call.
func (q quotas) charge(ctx context.Context, o galenastair.Organisation, cost float64) bool {
	start := boottime.Now()
	for {
		now := boottime.Now()
		if q.accounts.RecentlyDenied(now, o) {
			return false
		}
		result := q.chargeOwner(ctx, o, cost)
		if result.Owned {
			if !result.Granted {
				q.accounts.RecordDenial(now, o, result.RetryAfter)
			}
			return result.Granted
		}
		if now.Sub(start) >= maxOwnerWait || !timer.Wait(ctx, ownerRetryInterval) {
			q.accounts.RecordDenial(now, o, ownerDiscoveryTime)
			return false
		}
	}
}

// chargeOwner calls the owner of an organisation once. The result is not Owned if there is no owner,
// or if it does not answer or does not know yet that it is the owner.
func (q quotas) chargeOwner(ctx context.Context, o galenastair.Organisation, cost float64) account.ChargeResult {
	owner := q.accounts.Table().Owner(o)
	if owner == "" {
		return account.ChargeResult{}
	}
	result, err := q.leaderClient.charge(ctx, owner, o, cost)
	if err != nil || !result.Owned {
		if q.leaderClient.failedCharges.shouldLog(boottime.Now(), o) {
			q.leaderClient.logger.Log("event", "charge", "organisation", o, "owner", owner, "owned", result.Owned, "err", err)
		}
		return account.ChargeResult{}
	}
	return result
}

// RetryAfter estimates the time until an organisation over its quota can send a request again.
func (q quotas) RetryAfter(o galenastair.Organisation, cost float64) time.Duration {
	if q.ReportedFleetSize() == 0 {
		return ownerDiscoveryTime
	}
	return max(q.accounts.RetryAfter(boottime.Now(), o), q.Borrower.RetryAfter(o, cost))
}

// failedChargeInterval is the shortest time between two log lines for charges of an organisation that failed.
// Without a leader, all of them fail.
const failedChargeInterval = time.Second

// failedCharges limits the log lines for charges that failed.
type failedCharges struct {
	mu       sync.Mutex
	loggedAt map[galenastair.Organisation]boottime.Time
}

// shouldLog reports whether a charge that failed now is to be logged.
func (f *failedCharges) shouldLog(now boottime.Time, o galenastair.Organisation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, logged := f.loggedAt[o]; logged && now.Sub(at) < failedChargeInterval {
		return false
	}
	if f.loggedAt == nil {
		f.loggedAt = map[galenastair.Organisation]boottime.Time{}
	}
	f.loggedAt[o] = now
	return true
}

func (c *leaderClient) charge(ctx context.Context, owner string, o galenastair.Organisation, cost float64) (account.ChargeResult, error) {
	if owner == c.address {
		return c.accounts.Charge(boottime.Now(), o, cost), nil
	}
	result, known, err := c.client.Charge(ctx, owner, o, cost, c.elector.LatestRecord())
	if err == nil {
		c.elector.Observe(known)
	}
	return result, err
}

func (c *leaderClient) borrow(ctx context.Context, a quota.LoanRequest) (float64, error) {
	leader, isSelf := c.leader()
	switch {
	case isSelf:
		return c.localPlanner.Borrow(ctx, a)
	case leader == "":
		return 0, errNoLeader
	}
	return c.client.Borrow(ctx, leader, a)
}
