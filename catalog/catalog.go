package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"galenastair"
)

// Kind classifies requests by how they are answered and whether they may be retried.
type Kind int

// The kinds of requests.
const (
	// AtMostOnce requests run at most once.
	AtMostOnce Kind = iota
	// Idempotent requests may be retried after any failure.
	Idempotent
	// Stream requests are answered by a stream of events and run at most once.
	Stream
	// ResumableStream requests are answered by a stream that another backend server can
	// continue after the last event.
	ResumableStream
)

// Streamed reports whether the answer is a stream of events.
func (k Kind) Streamed() bool { return k == Stream || k == ResumableStream }

// Retryable reports whether a request may run more than once.
func (k Kind) Retryable() bool { return k == Idempotent || k == ResumableStream }

// Target is a service that receives requests of a route, and its weight.
type Target struct {
	Service galenastair.ServiceName
	Weight  float64
}

// Route configures the requests of one host and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum time of a request.
	Timeout time.Duration
	// TargetLatency is the longest time to the answer, or to a stream's first event, that still
	// counts as on time.
	TargetLatency time.Duration
	// TargetEventGap is the longest time between two events of a stream that still counts as on
	// time.
	TargetEventGap time.Duration
	// Priority orders waiting requests; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of backend servers that may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public  bool
	Targets []Target
	// Regions are those whose backend servers may run the requests; empty for all.
	Regions []galenastair.Region
}

// Model is a model that the engines of a service can load.
type Model struct {
	Name   galenastair.ModelName
	Memory galenastair.Bytes
	// LoadTime is how long a load from the weight store takes.
	LoadTime time.Duration
	// MemoryLoadTime and DiskLoadTime apply to an engine that keeps a copy of the weights in its
	// host's memory or on its disk; 0 if unknown.
	MemoryLoadTime time.Duration
	DiskLoadTime   time.Duration
	AdapterCount   int
	AdapterMemory  galenastair.Bytes
}

// Engine describes the model engines of a service, which are all the same.
type Engine struct {
	Slots          int
	KVCacheTokens  galenastair.Tokens
	Models         []Model
	Memory         galenastair.Bytes
	AdapterSlots   int
	LoadsPerSecond float64
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name           galenastair.ServiceName
	MaxConnections int
	// ColdStart is how long a backend server stays cold after its start. Until then it accepts
	// ColdRate requests per second from all instances together; 0 is no limit.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is nil for a service without model engines.
	Engine *Engine
}

// Organisation has the parts of a customer's contract that a gateway enforces.
type Organisation struct {
	Name galenastair.Organisation
	Keys []galenastair.KeyHash
	// Priority overrides the priority of a route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate, per second, and Burst are the quota over all instances together. A Rate of 0 is no
	// limit.
	Rate  float64
	Burst float64
	// CountsTokens makes the quota count tokens instead of requests.
	CountsTokens bool
	// DefaultTokens is the cost of a request without token counts.
	DefaultTokens galenastair.Tokens
	// Regions are those whose backend servers may run its requests; empty for all.
	Regions []galenastair.Region
}

// Cost returns what one request takes from the organisation's quota. If counted is false, the
// caller gave no token counts.
func (o *Organisation) Cost(tokens galenastair.Tokens, counted bool) float64 {
	switch {
	case !o.CountsTokens:
		return 1
	case counted:
		return float64(tokens)
	default:
		return float64(o.DefaultTokens)
	}
}

// Limits bound the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version int64
	Limits  Limits

	services           map[galenastair.ServiceName]*Service
	organisations      map[galenastair.Organisation]*Organisation
	organisationsByKey map[galenastair.KeyHash]*Organisation
	routesByHost       map[string][]*Route
	requireKeys        bool
	urgencies          map[galenastair.ServiceName]*urgency
	routeLevels        int
}

// New returns a catalog.
func New(version int64, l Limits, routes []*Route, services []*Service, organisations []*Organisation) *Catalog {
	c := &Catalog{
		Version:            version,
		Limits:             l,
		services:           make(map[galenastair.ServiceName]*Service, len(services)),
		organisations:      make(map[galenastair.Organisation]*Organisation, len(organisations)),
		organisationsByKey: map[galenastair.KeyHash]*Organisation{},
		routesByHost:       map[string][]*Route{},
		requireKeys:        len(organisations) > 0,
		urgencies:          newUrgencies(routes),
		routeLevels:        newRouteLevels(routes, organisations),
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, o := range organisations {
		c.organisations[o.Name] = o
		for _, k := range o.Keys {
			c.organisationsByKey[k] = o
		}
	}
	for _, r := range routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, rs := range c.routesByHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return c
}

// Match returns the host's route with the longest matching path prefix, or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether the requests of a route need a key. None do if the configuration has
// no organisations.
func (c *Catalog) RequiresKey(r *Route) bool { return c.requireKeys && !r.Public }

// OrganisationByKey returns the organisation that owns a key, or nil.
func (c *Catalog) OrganisationByKey(k galenastair.KeyHash) *Organisation {
	return c.organisationsByKey[k]
}

// Organisation returns the organisation with the given name, or nil.
func (c *Catalog) Organisation(name galenastair.Organisation) *Organisation {
	return c.organisations[name]
}

// ForEachOrganisation calls f for each organisation.
func (c *Catalog) ForEachOrganisation(f func(*Organisation)) {
	for _, o := range c.organisations {
		f(o)
	}
}

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name galenastair.ServiceName) *Service { return c.services[name] }

// ForEachService calls f for each service.
func (c *Catalog) ForEachService(f func(*Service)) {
	for _, s := range c.services {
		f(s)
	}
}

// Allows reports whether the route sends requests to a service.
func (r *Route) Allows(s galenastair.ServiceName) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == s && t.Weight > 0 })
}

// PickService picks one of the route's targets at random by weight; draw is a random number in
// [0, 1).
func (r *Route) PickService(draw float64) galenastair.ServiceName {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := draw * total
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
