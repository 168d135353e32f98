package gateway

import (
	"context"
	"time"

	"galenastair"
	"galenastair/catalog"
)

const (
	// retryView is when to come back to an instance without a fresh view: its balancer
	// has taken it out by then, and others serve.
	retryView = 500 * time.Millisecond
	// leastRetry and mostRetry bound what a caller is told: below, it comes back into
	// the same moment; above, it would rather give up.
	leastRetry = 100 * time.Millisecond
	mostRetry  = 5 * time.Second
	// mostPriority is the last rank that backend servers know.
	mostPriority = 9
)

// admission is what a request was admitted by.
type admission struct {
	route        *catalog.Route
	organisation *catalog.Organisation
	version      int64
	age          time.Duration
}

func (a admission) name() galenastair.Organisation {
	if a.organisation == nil {
		return ""
	}
	return a.organisation.Name
}

// priority is the organisation's if it has one, or else the route's.
func (a admission) priority() int {
	p := a.route.Priority
	if a.organisation != nil && a.organisation.HasPriority {
		p = a.organisation.Priority
	}
	return min(max(p, 0), mostPriority)
}

// authorise finds a request's route and organisation in the view in force. A view that is too
// old, as of an instance that is cut off or was suspended, may hold a withdrawn key and admits
// none.
func (g *Gateway) authorise(c *Call) (admission, error) {
	view, age := g.views.View()
	if view == nil {
		return admission{}, galenastair.Refuse(galenastair.ErrConfiguration, retryView, "none yet")
	}
	fresh := age < g.settings.ViewLife
	a := admission{version: view.Version, age: age}
	a.route = view.Match(c.Host, c.Path)
	if a.route == nil {
		if !fresh {
			return a, galenastair.Refuse(galenastair.ErrConfiguration, retryView, "too old to know the route")
		}
		return a, galenastair.Refuse(galenastair.ErrNotFound, 0, "route")
	}
	if !view.NeedsKey(a.route) {
		return a, nil
	}
	if !fresh {
		return a, galenastair.Refuse(galenastair.ErrConfiguration, retryView, "too old to know the key")
	}
	if c.Key == "" {
		return a, galenastair.Refuse(galenastair.ErrKeyMissing, 0, "")
	}
	a.organisation = view.ByKey(c.Key)
	if a.organisation == nil {
		return a, galenastair.Refuse(galenastair.ErrKeyUnknown, 0, "")
	}
	return a, nil
}

// charge takes a request's cost from its organisation's quota.
func (g *Gateway) charge(ctx context.Context, a admission, h galenastair.Hints) error {
	if a.organisation == nil || a.organisation.Rate <= 0 {
		return nil
	}
	cost := a.organisation.Cost(h.Prompt+h.Output, h.Counted)
	if g.quota.Take(g.clock.Now(), a.name(), cost) || g.quota.Borrow(ctx, a.name(), cost) {
		return nil
	}
	return galenastair.Refuse(galenastair.ErrRateExceeded, retryAfter(g.quota.Wait(a.name(), cost)), "")
}

func retryAfter(d time.Duration) time.Duration { return min(mostRetry, max(leastRetry, d)) }
