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
	// fullRatePeriod is how long an owner charges at the full rate after the leader confirmed it.
	// gracePeriod is how long it charges at all, and as long as a change of leader may take.
	fullRatePeriod = time.Second
	gracePeriod    = 6 * time.Second
	// ownerTimeout is when the leader takes a shard from an owner that has stopped reporting.
	ownerTimeout = fullRatePeriod + 200*time.Millisecond
	// initialOwnerTimeout applies to owners that have not reported to a new leader yet.
	initialOwnerTimeout = 4 * time.Second
	// candidateMaxAge is the greatest age of the last report of an instance that becomes an owner.
	candidateMaxAge = 700 * time.Millisecond
)

// Grant is a shard of an instance, and how long its owner charges at half the rate because the
// previous owner may still charge.
type Grant struct {
	Shard       Shard
	HalfRateFor time.Duration
}

// Assigner assigns shards to the instances that report to the leader. It is designed for a single
// owner among hundreds that is lost, partitioned or stopped, and for the loss of half of all
// instances at once. It is not safe for concurrent use.
type Assigner struct {
	termStart  boottime.Time
	reportedAt map[string]boottime.Time
	// stopping holds the instances that are shutting down.
	stopping map[string]bool
	// current is in force and stored on the platform; next is the table to be stored.
	current, next Table
	// previous is the owner of a shard before its last change, which may charge until
	// previousUntil.
	previous      [ShardCount]string
	previousUntil [ShardCount]boottime.Time
	// knownVersion is the table version that each instance last reported.
	knownVersion map[string]int64
}

// NewAssigner returns an assigner without a table.
func NewAssigner() *Assigner {
	a := &Assigner{}
	a.Reset(0, Table{})
	return a
}

// Reset begins a term with the table that the previous leader stored.
func (a *Assigner) Reset(now boottime.Time, inherited Table) {
	*a = Assigner{
		termStart:    now,
		reportedAt:   map[string]boottime.Time{},
		stopping:     map[string]bool{},
		knownVersion: map[string]int64{},
		current:      inherited,
		next:         inherited,
	}
}

// Table returns the table in force.
func (a *Assigner) Table() Table { return a.current }

// RecordReport records an instance's report, and the version of the table that it uses.
func (a *Assigner) RecordReport(now boottime.Time, address string, version int64, stopping bool) {
	a.reportedAt[address] = now
	a.knownVersion[address] = version
	if stopping {
		a.stopping[address] = true
	} else {
		delete(a.stopping, address)
	}
	if version != a.current.Version {
		return
	}
	// it knows that it no longer owns these shards
	for s, previous := range a.previous {
		if previous == address {
			a.previousUntil[s] = 0
		}
	}
}

// NextTable returns the table to store on the platform and then to announce; false if there is
// none.
func (a *Assigner) NextTable(now boottime.Time) (Table, bool) {
	owners := slices.Clone(a.next.Owners)
	if len(owners) != ShardCount {
		owners = make([]string, ShardCount)
	}
	changed := false
	candidates := a.candidates(now)
	for s, owner := range owners {
		if owner != "" && !a.lost(now, owner) || len(candidates) == 0 {
			continue
		}
		owners[s] = slices.MaxFunc(candidates, func(x, y string) int { return cmp.Compare(rendezvousWeight(s, x), rendezvousWeight(s, y)) })
		changed = changed || owners[s] != owner
	}
	if changed {
		a.next = Table{max(a.next.Version+1, time.Now().UnixNano()), owners}
	}
	return a.next.clone(), a.next.Version != 0
}

// TableStored records that a table is stored on the platform, and puts it in force.
func (a *Assigner) TableStored(now boottime.Time, t Table) {
	if t.Version <= a.current.Version || len(t.Owners) != ShardCount {
		return
	}
	for s, owner := range t.Owners {
		previous := ""
		if len(a.current.Owners) == ShardCount {
			previous = a.current.Owners[s]
		}
		if previous != "" && previous != owner {
			a.previous[s] = previous
			a.previousUntil[s] = a.lastReport(previous).Add(gracePeriod)
		}
	}
	a.current = t.clone()
}

// Grants returns what an instance owns by the table in force.
func (a *Assigner) Grants(now boottime.Time, address string) []Grant {
	var out []Grant
	for s, owner := range a.current.Owners {
		if owner == address && !a.previousAtFullRate(now, s) {
			out = append(out, Grant{Shard(s), max(0, a.previousUntil[s].Sub(now))})
		}
	}
	return out
}

// previousAtFullRate reports whether the previous owner may still charge at the full rate. This
// can be so when an owner that shuts down is replaced while it is still confirmed.
func (a *Assigner) previousAtFullRate(now boottime.Time, s int) bool {
	return a.previousUntil[s] != 0 && now < a.previousUntil[s].Add(fullRatePeriod-gracePeriod)
}

// lastReport returns a time that is not before an owner's last confirmation, by this leader or by
// the previous one, whose lease ended before this term began.
func (a *Assigner) lastReport(address string) boottime.Time {
	return max(a.termStart, a.reportedAt[address])
}

func (a *Assigner) lost(now boottime.Time, address string) bool {
	if a.stopping[address] {
		return true
	}
	if _, reported := a.reportedAt[address]; !reported {
		return now.Sub(a.termStart) > initialOwnerTimeout
	}
	return now.Sub(a.reportedAt[address]) > ownerTimeout
}

func (a *Assigner) candidates(now boottime.Time) []string {
	var out []string
	for address, at := range a.reportedAt {
		if now.Sub(at) <= candidateMaxAge && !a.stopping[address] {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// rendezvousWeight ranks an instance for a shard (rendezvous hashing): the order of two instances
// does not depend on a third.
func rendezvousWeight(s int, address string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(address + "/" + strconv.Itoa(s)))
	return mix(h.Sum32())
}

// mix is the 32-bit finalizer of MurmurHash3. It spreads the hash's last bytes over all bits.
func mix(h uint32) uint32 {
	h ^= h >> 16
	h *= 0x85ebca6b
	h ^= h >> 13
	h *= 0xc2b2ae35
	return h ^ h>>16
}
