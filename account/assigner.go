package account

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"galenastair/boottime"
)

const (
	// fresh is how long an owner charges at the full rate after the leader confirmed it, and
	// grace how long it charges at all: as long as a change of the leader may take.
	fresh = time.Second
	grace = 6 * time.Second
	// missedAfter is when the leader takes a shard from an owner that it does not hear.
	missedAfter = fresh + 200*time.Millisecond
	// missedAtFirst is the same for the owners that a new leader has not heard yet.
	missedAtFirst = 4 * time.Second
	// heardLately is what a new owner must have been.
	heardLately = 700 * time.Millisecond
)

// Grant is a shard of an instance, and for how long its owner charges at half of the rate, as
// the one before may still charge.
type Grant struct {
	Shard Shard
	Half  time.Duration
}

// Assigner deals shards to the instances that the leader hears. It is made for an owner that
// is lost, cut off or stopped among hundreds, and for half of them lost at once. Its owner
// keeps it to one goroutine.
type Assigner struct {
	began boottime.Time
	heard map[string]boottime.Time
	// stopping are those that are about to end.
	stopping map[string]bool
	// current is in force and stands on the platform; next is to be left there.
	current, next Table
	// before is who owned a shard until the last change, and may charge until limited.
	before  [Shards]string
	limited [Shards]boottime.Time
	// knows is the version that each instance told last.
	knows map[string]int64
}

// NewAssigner returns an assigner without a table.
func NewAssigner() *Assigner {
	a := &Assigner{}
	a.Reset(0, Table{})
	return a
}

// Reset begins a term with the table that the leader before has left.
func (a *Assigner) Reset(now boottime.Time, inherited Table) {
	*a = Assigner{
		began:    now,
		heard:    map[string]boottime.Time{},
		stopping: map[string]bool{},
		knows:    map[string]int64{},
		current:  inherited,
		next:     inherited,
	}
}

// Table returns the table in force.
func (a *Assigner) Table() Table { return a.current }

// Heard notes an instance's report, and the version of the table that it goes by.
func (a *Assigner) Heard(now boottime.Time, address string, version int64, stopping bool) {
	a.heard[address] = now
	a.knows[address] = version
	if stopping {
		a.stopping[address] = true
	} else {
		delete(a.stopping, address)
	}
	if version != a.current.Version {
		return
	}
	// it knows that it does not own them any more
	for s, before := range a.before {
		if before == address {
			a.limited[s] = 0
		}
	}
}

// Next returns the table that is to be left on the platform and told then; false if none is.
func (a *Assigner) Next(now boottime.Time) (Table, bool) {
	owners := slices.Clone(a.next.Owners)
	if len(owners) != Shards {
		owners = make([]string, Shards)
	}
	changed := false
	candidates := a.candidates(now)
	for s, owner := range owners {
		if owner != "" && !a.missed(now, owner) || len(candidates) == 0 {
			continue
		}
		owners[s] = slices.MaxFunc(candidates, func(x, y string) int { return cmp.Compare(weight(s, x), weight(s, y)) })
		changed = changed || owners[s] != owner
	}
	if changed {
		a.next = Table{max(a.next.Version+1, time.Now().UnixNano()), owners}
	}
	return a.next.clone(), a.next.Version != 0
}

// Noted says that a table stands on the platform.
func (a *Assigner) Noted(now boottime.Time, t Table) {
	if t.Version <= a.current.Version || len(t.Owners) != Shards {
		return
	}
	for s, owner := range t.Owners {
		before := ""
		if len(a.current.Owners) == Shards {
			before = a.current.Owners[s]
		}
		if before != "" && before != owner {
			a.before[s] = before
			a.limited[s] = a.lastHeard(before).Add(grace)
		}
	}
	a.current = t.clone()
}

// Grants returns what an instance owns by the table in force.
func (a *Assigner) Grants(now boottime.Time, address string) []Grant {
	var out []Grant
	for s, owner := range a.current.Owners {
		if owner == address && !a.unreleased(now, s) {
			out = append(out, Grant{Shard(s), max(0, a.limited[s].Sub(now))})
		}
	}
	return out
}

// unreleased says whether the owner before may still charge at the full rate: one that stops is
// replaced while it is confirmed.
func (a *Assigner) unreleased(now boottime.Time, s int) bool {
	return a.limited[s] != 0 && now < a.limited[s].Add(fresh-grace)
}

// lastHeard is not before an owner was last confirmed: by this leader, or by the one before,
// whose lease ended before this term began.
func (a *Assigner) lastHeard(address string) boottime.Time { return max(a.began, a.heard[address]) }

func (a *Assigner) missed(now boottime.Time, address string) bool {
	if a.stopping[address] {
		return true
	}
	if _, heard := a.heard[address]; !heard {
		return now.Sub(a.began) > missedAtFirst
	}
	return now.Sub(a.heard[address]) > missedAfter
}

func (a *Assigner) candidates(now boottime.Time) []string {
	var out []string
	for address, at := range a.heard {
		if now.Sub(at) <= heardLately && !a.stopping[address] {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// weight ranks an instance for a shard: the ranks of two instances do not depend on a third.
func weight(s int, address string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(address + "/" + strconv.Itoa(s)))
	return mix(h.Sum32())
}

// mix spreads the hash's last bytes over all of its bits.
func mix(h uint32) uint32 {
	h ^= h >> 16
	h *= 0x85ebca6b
	h ^= h >> 13
	h *= 0xc2b2ae35
	return h ^ h>>16
}
