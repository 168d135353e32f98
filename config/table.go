package config

// shardCount splits a table so that a change copies one part in 64 of it: at
// 2,000 organisations some 30 entries, where one map would copy all for each view.
const shardCount = 64

// table is a map whose copies share what neither has changed since.
type table[K comparable, V any] struct {
	shards [shardCount]map[K]V
	owned  [shardCount]bool
	hash   func(K) uint64
}

func newTable[K comparable, V any](hash func(K) uint64) *table[K, V] {
	return &table[K, V]{hash: hash}
}

func (t *table[K, V]) get(k K) (V, bool) {
	v, found := t.shards[t.hash(k)%shardCount][k]
	return v, found
}

func (t *table[K, V]) put(k K, v V) {
	t.own(t.hash(k) % shardCount)[k] = v
}

func (t *table[K, V]) drop(k K) {
	delete(t.own(t.hash(k)%shardCount), k)
}

// own returns the shard for writing, copied if a copy of the table may still read it.
func (t *table[K, V]) own(i uint64) map[K]V {
	if t.owned[i] {
		return t.shards[i]
	}
	m := make(map[K]V, len(t.shards[i])+1)
	for k, v := range t.shards[i] {
		m[k] = v
	}
	t.shards[i] = m
	t.owned[i] = true
	return m
}

// freeze returns a copy for readers; later writes to t do not reach it.
func (t *table[K, V]) freeze() *table[K, V] {
	t.owned = [shardCount]bool{}
	return &table[K, V]{shards: t.shards, hash: t.hash}
}

func (t *table[K, V]) all(yield func(K, V) bool) {
	for _, m := range t.shards {
		for k, v := range m {
			if !yield(k, v) {
				return
			}
		}
	}
}
