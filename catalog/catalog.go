package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"galenastair"
)

// Kind says what may be done with a request more than once.
type Kind int

// The kinds of request.
const (
	// AtMostOnce requests run once at most.
	AtMostOnce Kind = iota
	// Idempotent requests may be sent again after any failure.
	Idempotent
	// Stream requests are answered by events and run once at most.
	Stream
	// ResumableStream requests may go on at another backend server behind the last event.
	ResumableStream
)

// Streamed says whether the answer comes event by event.
func (k Kind) Streamed() bool { return k == Stream || k == ResumableStream }

// Repeatable says whether a second run does no harm.
func (k Kind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Target is one service that a route may lead to, and its share of the requests.
type Target struct {
	Service galenastair.ServiceName
	Weight  float64
}

// Route says where the requests of one host and path prefix go, and how.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// Aim is the time to the answer, or to a stream's first event, that is still on time.
	Aim time.Duration
	// Gap is the longest pause between events that is still on time.
	Gap time.Duration
	// Priority ranks requests; 0 goes first.
	Priority int
	// Attempts is the most backend servers that may run one request.
	Attempts int
	Public   bool
	Targets  []Target
}

// Model is one model that the engines of a service can load.
type Model struct {
	Name   galenastair.ModelName
	Memory galenastair.Bytes
	// Load is what a load from the weight store takes.
	Load          time.Duration
	Adapters      int
	AdapterMemory galenastair.Bytes
}

// Engine describes the model engines of a service; all are alike.
type Engine struct {
	Slots          int
	CacheTokens    galenastair.Tokens
	Models         []Model
	Memory         galenastair.Bytes
	AdapterPlaces  int
	LoadsPerSecond float64
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name           galenastair.ServiceName
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Organisation is one customer's contract as far as a gateway enforces it.
type Organisation struct {
	Name galenastair.Organisation
	Keys []galenastair.KeyHash
	// Priority goes before a route's, if HasPriority.
	Priority    int
	HasPriority bool
	// Rate and Burst are its quota over all instances; a Rate of 0 is no limit.
	Rate  float64
	Burst float64
	// InTokens says that the quota counts tokens; else it counts requests.
	InTokens bool
	// PlainTokens is what a request without token counts costs.
	PlainTokens galenastair.Tokens
}

// Cost is what one request takes of the organisation's quota.
func (o *Organisation) Cost(tokens galenastair.Tokens, counted bool) float64 {
	switch {
	case !o.InTokens:
		return 1
	case counted:
		return float64(tokens)
	default:
		return float64(o.PlainTokens)
	}
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	Header      time.Duration
	Idle        time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version int64
	Limits  Limits

	services      map[galenastair.ServiceName]*Service
	organisations map[galenastair.Organisation]*Organisation
	byKey         map[galenastair.KeyHash]*Organisation
	byHost        map[string][]*Route
	keyed         bool
}

// New builds a catalog from its parts.
func New(version int64, l Limits, routes []*Route, services []*Service, organisations []*Organisation) *Catalog {
	c := &Catalog{
		Version:       version,
		Limits:        l,
		services:      make(map[galenastair.ServiceName]*Service, len(services)),
		organisations: make(map[galenastair.Organisation]*Organisation, len(organisations)),
		byKey:         map[galenastair.KeyHash]*Organisation{},
		byHost:        map[string][]*Route{},
		keyed:         len(organisations) > 0,
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, o := range organisations {
		c.organisations[o.Name] = o
		for _, k := range o.Keys {
			c.byKey[k] = o
		}
	}
	for _, r := range routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, rs := range c.byHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return c
}

// Match returns the route of the host with the longest prefix of the path; nil for none.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// NeedsKey says whether requests on a route carry a key.
func (c *Catalog) NeedsKey(r *Route) bool { return c.keyed && !r.Public }

// ByKey returns the organisation that holds a key; nil for none.
func (c *Catalog) ByKey(k galenastair.KeyHash) *Organisation { return c.byKey[k] }

// Organisation returns an organisation by its name; nil for none.
func (c *Catalog) Organisation(name galenastair.Organisation) *Organisation {
	return c.organisations[name]
}

// Organisations calls f for each organisation.
func (c *Catalog) Organisations(f func(*Organisation)) {
	for _, o := range c.organisations {
		f(o)
	}
}

// Service returns a service by its name; nil for none.
func (c *Catalog) Service(name galenastair.ServiceName) *Service { return c.services[name] }

// Services calls f for each service.
func (c *Catalog) Services(f func(*Service)) {
	for _, s := range c.services {
		f(s)
	}
}

// Choose deals a route's requests to its targets by weight; draw is in [0, 1).
func (r *Route) Choose(draw float64) galenastair.ServiceName {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := draw * sum
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
