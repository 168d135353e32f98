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

// views holds the operator's configuration in force.
type views struct {
	current  atomic.Pointer[catalog.Catalog]
	follower *follow.Follower
	logger   log.Logger
	changed  func(*catalog.Catalog)
	// known is closed once there is a configuration.
	known chan struct{}
	// started is when the instance did.
	started time.Time
}

// firstView is how long after its start an instance usually has read its first configuration.
const firstView = time.Second

func newViews(logger log.Logger) *views {
	return &views{logger: logger, known: make(chan struct{}), started: time.Now()}
}

// Await waits for the first configuration of an instance that has just started.
func (v *views) Await(ctx context.Context) {
	select {
	case <-v.known:
		return
	default:
	}
	left := firstView - time.Since(v.started)
	if left <= 0 {
		return
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-v.known:
	case <-t.C:
	case <-ctx.Done():
	}
}

// View returns the configuration in force and how old the store's word on it is.
func (v *views) View() (*catalog.Catalog, time.Duration) {
	c := v.current.Load()
	age, ok := v.follower.Age()
	if c == nil || !ok {
		return nil, 0
	}
	return c, age
}

// BodyBytes returns how large a caller's body may be; a guess before the first view.
func (v *views) BodyBytes() int64 {
	const beforeTheFirst = 1 << 20
	if c := v.current.Load(); c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return beforeTheFirst
}

// apply takes in the newest version of a batch. A version never goes back: an older
// one may come again when the store's history was dropped.
func (v *views) apply(b galenastair.KeyedBatch, _ bool) {
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
		v.logger.Log("event", "configuration unreadable", "err", err)
		return
	}
	old := v.current.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	v.current.Store(c)
	if old == nil {
		close(v.known)
	}
	v.logger.Log("event", "configuration", "version", c.Version)
	v.logQuotas(old, c)
	v.changed(c)
}

// logQuotas logs the quotas that a version changes, so that a refusal can be checked
// against what was in force.
func (v *views) logQuotas(old, now *catalog.Catalog) {
	now.Organisations(func(o *catalog.Organisation) {
		var before *catalog.Organisation
		if old != nil {
			before = old.Organisation(o.Name)
		}
		if before == nil || before.Rate != o.Rate || before.Burst != o.Burst {
			v.logger.Log("event", "quota", "organisation", o.Name, "rate", o.Rate, "burst", o.Burst, "version", now.Version)
		}
	})
}

func (v *views) run(ctx context.Context) error { return v.follower.Run(ctx) }
