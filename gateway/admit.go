package gateway

import (
	"context"
	"slices"
	"time"

	"galenastair"
	"galenastair/catalog"
)

const (
	// catalogRetryAfter is the Retry-After of an instance without a current configuration.
	// By then the load balancer has stopped sending to it and other instances serve.
	catalogRetryAfter = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After of requests over the quota and of
	// requests refused because of overload. A caller that retries sooner meets the same
	// conditions, and one that is asked to wait longer gives up.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// authorisation is the configuration that a request was admitted under.
type authorisation struct {
	route        *catalog.Route
	organisation *catalog.Organisation
	version      int64
	age          time.Duration
	// level is that at which backend servers order the request; 0 goes first.
	level int
	// regions are those whose backend servers may run the request; empty for all.
	regions []galenastair.Region
}

func (a authorisation) organisationName() galenastair.Organisation {
	if a.organisation == nil {
		return ""
	}
	return a.organisation.Name
}

// authorise looks up a request's route and organisation in the current catalog. An
// instance that lost its connection to the store or was suspended may have an outdated
// catalog that still holds a withdrawn key, or lacks a new one, so a catalog older than
// MaxCatalogAge admits no key.
func (g *Gateway) authorise(c *Request) (authorisation, error) {
	current, age := g.catalogSource.Current()
	if current == nil {
		return authorisation{}, galenastair.NewRefusal(galenastair.ErrNoConfiguration, catalogRetryAfter, "not loaded yet")
	}
	a := authorisation{version: current.Version, age: age}
	a.route = current.Match(c.Host, c.Path)
	if a.route == nil {
		return a, g.deny(age, galenastair.ErrNotFound, "no route matches")
	}
	a.level = current.Level(nil, a.route)
	if !current.RequiresKey(a.route) {
		a.regions = a.route.Regions
		return a, nil
	}
	if age >= g.settings.MaxCatalogAge {
		return a, galenastair.NewRefusal(galenastair.ErrNoConfiguration, catalogRetryAfter, "configuration too old to verify the key")
	}
	if c.Key == "" {
		return a, g.deny(age, galenastair.ErrKeyMissing, "")
	}
	a.organisation = current.OrganisationByKey(c.Key)
	if a.organisation == nil {
		return a, g.deny(age, galenastair.ErrKeyUnknown, "")
	}
	a.level = current.Level(a.organisation, a.route)
	return a, a.restrictRegions()
}

// deny returns the refusal of a request that a configuration of this age does not allow. A caller
// does not retry a denied request, so an outdated configuration, which may lack a new route or key,
// only makes it try another instance.
func (g *Gateway) deny(age time.Duration, cause error, detail string) error {
	if age >= g.settings.MaxDenialAge {
		return galenastair.NewRefusal(galenastair.ErrNoConfiguration, catalogRetryAfter, "configuration too old to deny the request")
	}
	return galenastair.NewRefusal(cause, 0, detail)
}

// restrictRegions sets the regions that both the route and the organisation allow.
func (a *authorisation) restrictRegions() error {
	route, organisation := a.route.Regions, a.organisation.Regions
	switch {
	case len(organisation) == 0:
		a.regions = route
	case len(route) == 0:
		a.regions = organisation
	default:
		a.regions = slices.DeleteFunc(slices.Clone(route), func(r galenastair.Region) bool { return !slices.Contains(organisation, r) })
		if len(a.regions) == 0 {
			return galenastair.NewRefusal(galenastair.ErrNoBackendServer, maxRetryAfter, "the route and the organisation allow no common region")
		}
	}
	return nil
}

// charge deducts a request's cost from its organisation's quota.
func (g *Gateway) charge(ctx context.Context, a authorisation, h galenastair.RequestHints) error {
	if a.organisation == nil || a.organisation.Rate <= 0 {
		return nil
	}
	cost := a.organisation.Cost(h.PromptTokens+h.OutputTokens, h.HasTokenCounts)
	if g.quota.Take(g.clock.Now(), a.organisationName(), cost) || g.quota.Borrow(ctx, a.organisationName(), cost) {
		return nil
	}
	return galenastair.NewRefusal(galenastair.ErrRateExceeded, clampRetryAfter(g.quota.RetryAfter(a.organisationName(), cost)), "")
}

func clampRetryAfter(d time.Duration) time.Duration { return min(maxRetryAfter, max(minRetryAfter, d)) }
