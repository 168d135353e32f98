package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/catalog"
	"galenastair/follow"
	"galenastair/platform"
)

// catalogSource holds the operator's current configuration.
type catalogSource struct {
	current  atomic.Pointer[catalog.Catalog]
	follower *follow.Follower
	logger   log.Logger
	onChange func(*catalog.Catalog)
	// evacuations come with the same topic.
	evacuations *evacuations
	// loaded is finished once the first configuration has been read.
	loaded *startupWait
}

// firstLoadTimeout is the time after its start within which an instance usually has read its
// first configuration.
const firstLoadTimeout = time.Second

func newCatalogSource(logger log.Logger) *catalogSource {
	return &catalogSource{logger: logger, loaded: newStartupWait(firstLoadTimeout), evacuations: newEvacuations(logger)}
}

// WaitReady waits for the first configuration, at most until firstLoadTimeout after the start.
func (s *catalogSource) WaitReady(ctx context.Context) { s.loaded.wait(ctx) }

// Current returns the current configuration, and how long ago the store confirmed it. It returns
// nil before the first configuration.
func (s *catalogSource) Current() (*catalog.Catalog, time.Duration) {
	c := s.current.Load()
	age, ok := s.follower.Age()
	if c == nil || !ok {
		return nil, 0
	}
	return c, age
}

// MaxBodyBytes returns the maximum size of a caller's request body. Before the first configuration
// it returns a default.
func (s *catalogSource) MaxBodyBytes() int64 {
	const defaultBodyBytes = 1 << 20
	if c := s.current.Load(); c != nil && c.Limits.MaxBodyBytes > 0 {
		return c.Limits.MaxBodyBytes
	}
	return defaultBodyBytes
}

// apply applies the evacuations in a batch, and then the newest version: an instance serves from
// its first version on, and must know by then which zones get no requests.
func (s *catalogSource) apply(b galenastair.KeyedBatch, snapshot bool) {
	var confirmed time.Time
	if age, known := s.follower.Age(); known {
		confirmed = time.Now().Add(-age)
	}
	s.evacuations.apply(b, snapshot, confirmed)
	s.applyVersion(b)
}

// applyVersion loads the newest version in a batch. It ignores versions older than the current one,
// as the store may return an older one after it has dropped its history.
func (s *catalogSource) applyVersion(b galenastair.KeyedBatch) {
	var newest []byte
	for _, r := range b.Records {
		if r.Key == platform.ConfigurationKey && len(r.Value) > 0 {
			newest = r.Value
		}
	}
	if newest == nil {
		return
	}
	c, err := platform.DecodeConfiguration(newest)
	if err != nil {
		s.logger.Log("event", "configuration unreadable", "err", err)
		return
	}
	old := s.current.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	s.current.Store(c)
	if old == nil {
		s.loaded.finish()
	}
	s.logger.Log("event", "configuration", "version", c.Version)
	s.logQuotas(old, c)
	s.onChange(c)
}

// logQuotas logs the quotas that a version changes, so that a refused request can be checked
// against the quota at that time.
func (s *catalogSource) logQuotas(old, current *catalog.Catalog) {
	current.ForEachOrganisation(func(o *catalog.Organisation) {
		var before *catalog.Organisation
		if old != nil {
			before = old.Organisation(o.Name)
		}
		if before == nil || before.Rate != o.Rate || before.Burst != o.Burst {
			s.logger.Log("event", "quota", "organisation", o.Name, "rate", o.Rate, "burst", o.Burst, "version", current.Version)
		}
	})
}

func (s *catalogSource) run(ctx context.Context) error { return s.follower.Run(ctx) }
