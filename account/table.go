package account

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"galenastair"
)

// Shard is the number of a shard of all organisations.
type Shard int

// ShardCount is large enough to spread the organisations of a large fleet, and small enough for a
// table to be sent whole.
const ShardCount = 64

// ShardOf returns the shard of an organisation, or of another kind of object by its ID.
func ShardOf[ID ~string](id ID) Shard {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return Shard(h.Sum32() % ShardCount)
}

// Table maps each shard to the instance that owns it.
type Table struct {
	// Version is 0 for a table without owners, and unique otherwise.
	Version int64
	// Owners holds peer addresses, by shard.
	Owners []string
}

// Owner returns the peer address of an organisation's owner; empty if it has none.
func (t Table) Owner(o galenastair.Organisation) string { return t.ShardOwner(ShardOf(o)) }

// ShardOwner returns the peer address of a shard's owner; empty if it has none.
func (t Table) ShardOwner(s Shard) string {
	if len(t.Owners) != ShardCount {
		return ""
	}
	return t.Owners[s]
}

// RandomOwner returns the peer address of an owner other than the given ones; empty if there is none.
func (t Table) RandomOwner(except ...string) string {
	others := slices.DeleteFunc(slices.Clone(t.Owners), func(owner string) bool { return owner == "" || slices.Contains(except, owner) })
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

func (t Table) clone() Table { return Table{t.Version, slices.Clone(t.Owners)} }
