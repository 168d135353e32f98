package account

import (
	"hash/fnv"
	"slices"

	"galenastair"
)

// Shard numbers a part of all organisations.
type Shard int

// Shards is how many there are: enough to spread the organisations of a large fleet, few
// enough for a table to be told whole.
const Shards = 64

// ShardOf returns the shard of an organisation.
func ShardOf(o galenastair.Organisation) Shard {
	h := fnv.New32a()
	_, _ = h.Write([]byte(o))
	return Shard(h.Sum32() % Shards)
}

// Table says which instance owns each shard.
type Table struct {
	// Version is 0 for a table without owners, and never that of another table.
	Version int64
	// Owners are peer addresses, by shard.
	Owners []string
}

// Owner returns the peer address of an organisation's owner; empty if it has none.
func (t Table) Owner(o galenastair.Organisation) string {
	if len(t.Owners) != Shards {
		return ""
	}
	return t.Owners[ShardOf(o)]
}

func (t Table) clone() Table { return Table{t.Version, slices.Clone(t.Owners)} }
