package turn

import (
	"context"
	"strconv"
	"sync/atomic"

	"galenastair"
)

// The record that says how many instances there are.
const (
	fleetTopic galenastair.Topic = "keyed.fleet"
	fleetKey                     = "Count"
)

// fleetCount is how many instances there are, as the holders of the duty leave it on the
// platform.
//
// Failure guarded against: all instances are started again at once, and none knows how
// many there are. Each would deal itself as small a part of the quotas as may be right, and
// refuse most of what organisations send within them until a lender has counted.
type fleetCount struct{ known atomic.Int64 }

// Fleet returns how many instances there are by what the platform keeps; 0 if unknown.
func (k *Keeper) Fleet() int { return int(k.fleet.known.Load()) }

// read takes in the record, at the start of the process and of each term.
func (c *fleetCount) read(ctx context.Context, k *Keeper) {
	b, err := k.store.Newest(ctx, fleetTopic)
	if err != nil {
		k.logger.Log("event", "count", "err", err)
		return
	}
	for _, r := range b.Records {
		n, err := strconv.Atoi(string(r.Value))
		if r.Key != fleetKey || err != nil || n <= 0 {
			k.logger.Log("event", "count", "key", r.Key, "value", string(r.Value), "err", err)
			continue
		}
		c.known.Store(int64(n))
	}
}

// leaveCount writes the record if it has changed.
func (k *Keeper) leaveCount(ctx context.Context) {
	n, before := k.count(), k.Fleet()
	if n == 0 || n == before {
		return
	}
	err := k.store.Put(ctx, fleetTopic, fleetKey, []byte(strconv.Itoa(n)))
	k.logger.Log("event", "count", "fleet", n, "before", before, "err", err)
	if err == nil {
		k.fleet.known.Store(int64(n))
	}
}
