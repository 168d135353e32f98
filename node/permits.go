package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"galenastair"
	"galenastair/account"
	"galenastair/boottime"
	"galenastair/peer/planning"
	"galenastair/permit"
	"galenastair/pool"
	"galenastair/ratelimit"
	"galenastair/timer"
)

// issuerRetryInterval is how long an issuer that has not answered is not asked. Meanwhile this instance
// has its share of the permits.
const issuerRetryInterval = 500 * time.Millisecond

// permits holds this instance's permits for requests to brittle backend servers, and issues those of the
// servers that are assigned to it: by the table of owners in a large fleet, and otherwise to the leader.
type permits struct {
	self     string
	table    *permit.Table
	pool     *pool.Pool
	client   *planning.Client
	accounts *account.Accounts
	leader   func() (address string, isSelf bool)
	isLeader func() bool
	position func() ratelimit.Position
	metrics  *metrics
	logger   log.Logger
	// changed is signalled when there is something to tell an issuer.
	changed chan struct{}

	mu      sync.Mutex
	servers map[galenastair.BackendServerID]*heldPermits
	// busy are the issuers to which a message is on its way, so that none overtakes another.
	busy map[string]bool
	// failedAt is when an issuer last did not answer.
	failedAt map[string]time.Time
}

// heldPermits are this instance's permits of one server.
type heldPermits struct {
	held     map[permit.ID]bool
	released []permit.ID
	// declineLimit is that of a decline of which the issuer does not know yet; 0 if there is none.
	declineLimit float64
	// shared is the number of requests that were sent without an issuer, within this instance's share.
	shared int
}

func (h *heldPermits) changed() bool { return len(h.released) > 0 || h.declineLimit > 0 }

func (n *Node) newPermits() *permits {
	return &permits{
		self: n.settings.PeerAddress,
		table: permit.NewTable(func(now time.Time, id galenastair.BackendServerID) int {
			own, others := n.pool.InFlight(now, id)
			return own + others
		}),
		pool:     n.pool,
		client:   n.leaderClient.client,
		accounts: n.accounts,
		leader:   n.leaderClient.leader,
		isLeader: n.lease.Holds,
		position: n.leaderClient.position,
		metrics:  n.metrics,
		logger:   n.logger,
		changed:  make(chan struct{}, 1),
		servers:  map[galenastair.BackendServerID]*heldPermits{},
		busy:     map[string]bool{},
		failedAt: map[string]time.Time{},
	}
}

// issuer returns the peer address of the instance that issues the permits of a server, empty if it is
// not known.
func (p *permits) issuer(id galenastair.BackendServerID) string {
	if t := p.accounts.Table(); t.Version != 0 {
		return t.ShardOwner(account.ShardOf(id))
	}
	leader, _ := p.leader()
	return leader
}

func (p *permits) issues(id galenastair.BackendServerID) bool {
	if p.accounts.Table().Version != 0 {
		return p.accounts.Owns(boottime.Now(), account.ShardOf(id))
	}
	return p.isLeader()
}

// AcquirePermit returns a permit of a server, and false if this instance does not issue them.
func (p *permits) AcquirePermit(ctx context.Context, r permit.Request) (permit.Decision, bool) {
	if !p.issues(r.Server) {
		return permit.Decision{}, false
	}
	decision, waiter := p.table.Acquire(time.Now(), r)
	if waiter == nil {
		return decision, true
	}
	t := time.NewTimer(r.MaxWait)
	defer t.Stop()
	select {
	case id := <-waiter.Granted():
		return permit.Decision{ID: id}, true
	case <-t.C:
	case <-ctx.Done():
	}
	return p.table.Cancel(time.Now(), waiter), true
}

// UpdatePermits records what another instance has in flight at servers of which this one issues the
// permits.
func (p *permits) UpdatePermits(instance string, usages []permit.Usage) {
	p.table.Update(time.Now(), instance, usages...)
}

// Acquire implements gateway.Permits. While no issuer answers, this instance has its share of the
// permits.
func (p *permits) Acquire(ctx context.Context, r permit.Request) (permit.Decision, func(declineLimit float64)) {
	decision, err := p.acquire(ctx, r)
	switch {
	case err == nil:
		p.metrics.countPermit("Issuer", decision.ID != 0)
		if decision.ID == 0 {
			return decision, nil
		}
		p.hold(r.Server, decision.ID)
		return decision, func(declineLimit float64) { p.release(r.Server, decision.ID, declineLimit) }
	case ctx.Err() != nil:
		return permit.Decision{}, nil
	}
	granted := p.takeShare(r)
	p.metrics.countPermit("Share", granted)
	if !granted {
		return permit.Decision{}, nil
	}
	return permit.Decision{}, func(float64) { p.returnShare(r.Server) }
}

var errNoIssuer = errors.New("no instance that answers issues permits of the backend server")

func (p *permits) acquire(ctx context.Context, r permit.Request) (permit.Decision, error) {
	address := p.issuer(r.Server)
	if address == p.self {
		if decision, issues := p.AcquirePermit(ctx, r); issues {
			return decision, nil
		}
		return permit.Decision{}, errNoIssuer
	}
	if address == "" || p.hasFailed(address) {
		return permit.Decision{}, errNoIssuer
	}
	decision, err := p.client.AcquirePermit(ctx, address, r)
	if err != nil && ctx.Err() == nil {
		p.logger.Log("event", "permit share", "server", r.Server, "issuer", address, "err", err)
		p.setFailed(address)
	}
	return decision, err
}

func (p *permits) hasFailed(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, failed := p.failedAt[address]
	return failed && time.Since(at) < issuerRetryInterval
}

func (p *permits) setFailed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.failedAt, func(_ string, at time.Time) bool { return time.Since(at) >= issuerRetryInterval })
	p.failedAt[address] = time.Now()
}

func (p *permits) server(id galenastair.BackendServerID) *heldPermits {
	h := p.servers[id]
	if h == nil {
		h = &heldPermits{held: map[permit.ID]bool{}}
		p.servers[id] = h
	}
	return h
}

func (p *permits) hold(server galenastair.BackendServerID, id permit.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(server).held[id] = true
}

func (p *permits) release(server galenastair.BackendServerID, id permit.ID, declineLimit float64) {
	p.mu.Lock()
	h := p.server(server)
	delete(h.held, id)
	h.released = append(h.released, id)
	if declineLimit > 0 {
		h.declineLimit = declineLimit
	}
	p.mu.Unlock()
	p.notify()
}

func (p *permits) takeShare(r permit.Request) bool {
	position := p.position()
	share := permit.Share(r.Server, r.Limit, position.Index, position.FleetSize)
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.server(r.Server)
	if len(h.held)+h.shared >= share {
		return false
	}
	h.shared++
	return true
}

func (p *permits) returnShare(server galenastair.BackendServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(server).shared--
}

func (p *permits) notify() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// run tells the issuers what this instance has in flight: at once when it has released a permit, and
// everything at each RenewInterval.
func (p *permits) run(ctx context.Context) error {
	var messages errgroup.Group
	nextRenewal := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		renew := !now.Before(nextRenewal)
		if renew {
			nextRenewal = now.Add(permit.RenewInterval)
		}
		for address, usages := range p.takeUsages(now, renew) {
			messages.Go(func() error {
				p.send(ctx, address, usages)
				return nil
			})
		}
		timer.WaitFor(ctx, p.changed, time.Until(nextRenewal))
	}
	_ = messages.Wait()
	return ctx.Err()
}

// takeUsages returns what to tell each issuer that has no message on its way: the servers of which
// permits were released, or all.
func (p *permits) takeUsages(now time.Time, all bool) map[string][]permit.Usage {
	inFlight := p.pool.BrittleInFlight(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if all {
		for id := range inFlight {
			p.server(id)
		}
	}
	out := map[string][]permit.Usage{}
	for id, h := range p.servers {
		address := p.issuer(id)
		if address == "" || p.busy[address] || !all && !h.changed() {
			continue
		}
		u := permit.Usage{
			Server: id, Held: slices.Collect(maps.Keys(h.held)), Released: h.released,
			Unpermitted: max(0, inFlight[id]-len(h.held)), DeclineLimit: h.declineLimit,
		}
		h.released, h.declineLimit = nil, 0
		out[address] = append(out[address], u)
		if u.IsEmpty() && h.shared == 0 {
			delete(p.servers, id)
		}
	}
	for address := range out {
		p.busy[address] = true
	}
	return out
}

// send tells an issuer. Released permits of a lost message expire.
func (p *permits) send(ctx context.Context, address string, usages []permit.Usage) {
	if address == p.self {
		p.UpdatePermits(p.self, usages)
	} else if err := p.client.UpdatePermits(ctx, address, p.self, usages); err != nil {
		p.setFailed(address)
	}
	p.mu.Lock()
	delete(p.busy, address)
	more := slices.ContainsFunc(slices.Collect(maps.Values(p.servers)), (*heldPermits).changed)
	p.mu.Unlock()
	if more {
		p.notify()
	}
}
