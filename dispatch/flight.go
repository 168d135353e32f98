package dispatch

import (
	"time"

	"galenastair"
	"galenastair/route"
)

// Cancel takes out a request whose caller gave up before it was granted.
func (c *Core) Cancel(t *Ticket) {
	if c.tickets[&t.item] == nil {
		return
	}
	c.model(t.Request.Model).queue.Remove(&t.item)
	c.forget(&t.item)
	t.state = ended
}

// Expire refuses the waiting requests of a model whose time is over.
func (c *Core) Expire(now time.Time, name galenastair.ModelName) {
	m := c.models[name]
	if m == nil {
		return
	}
	c.refuseAll(now, m.queue.Expire(now))
	if m.missing.IsZero() || now.Sub(m.missing) < copyGrace || c.router.Known(now, name, nil) {
		return
	}
	c.refuseAll(now, m.queue.Clear(galenastair.ErrNoBackendServer, copyRetry))
}

// FirstToken tells that the first token of a granted request has come.
func (c *Core) FirstToken(now time.Time, t *Ticket) {
	if t.state != running || !t.first.IsZero() {
		return
	}
	c.firstToken(now, t, now.Sub(t.granted))
	// the token may have opened the window; without this, answers that last for
	// seconds would leave the opened room empty until the first of them ends
	c.drainServer(now, t.server)
}

func (c *Core) firstToken(now time.Time, t *Ticket, took time.Duration) {
	t.first = t.granted.Add(took)
	c.router.FirstToken(now, t.server, took, t.Request.PromptTokens)
}

// Done tells that a granted request has ended, and uses the room it leaves.
func (c *Core) Done(now time.Time, t *Ticket, res Result) {
	if t.state != running {
		return
	}
	if t.first.IsZero() && res.FirstToken > 0 {
		c.firstToken(now, t, res.FirstToken)
	}
	t.state = ended
	m := c.model(t.Request.Model)
	m.queue.Refund(t.Request.Organisation, t.Request.OutputTokens-res.OutputTokens)
	m.demand.OutputTokens += res.OutputTokens
	c.router.Done(now, t.server, route.End{
		Answered: !t.first.IsZero(),
		Failed:   res.Failed,
		Gap:      gap(now, t, res),
	})
	c.router.Review(now)
	c.drainServer(now, t.server)
}

func gap(now time.Time, t *Ticket, res Result) time.Duration {
	if t.first.IsZero() || res.OutputTokens < 2 {
		return 0
	}
	return now.Sub(t.first) / time.Duration(res.OutputTokens-1)
}

// SetServers follows the platform's list of model engines.
func (c *Core) SetServers(now time.Time, list []Server) {
	c.router.SetServers(now, list)
	present := make(map[galenastair.BackendServerID]bool, len(list))
	for _, s := range list {
		present[s.ID] = true
	}
	for id := range c.turns {
		if !present[id] {
			delete(c.turns, id)
		}
	}
}

// Report takes in what an engine said about itself, and uses the room it shows.
func (c *Core) Report(now time.Time, r galenastair.EngineReport) {
	c.router.Report(now, r)
	c.router.Review(now)
	c.drainServer(now, r.BackendServer)
}

// CacheEvents takes in what an engine cached and dropped.
func (c *Core) CacheEvents(id galenastair.BackendServerID, events []galenastair.CacheEvent) {
	c.router.CacheEvents(id, events)
}

// Slow returns the backend servers that stay slow, failing or silent; placement puts
// other copies of what they hold elsewhere.
func (c *Core) Slow(now time.Time) []galenastair.BackendServerID {
	c.router.Review(now)
	return c.router.Slow()
}
