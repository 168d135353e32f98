package config

// shardCount is the number of shards of a cowMap. A change after freeze copies one shard
// of 64, which is about 30 entries at 2,000 organisations; a single map would be copied
// as a whole for each view.
const shardCount = 64

// cowMap is a sharded copy-on-write map: copies share the shards that have not changed.
type cowMap[K comparable, V any] struct {
	shards [shardCount]map[K]V
	owned  [shardCount]bool
	hash   func(K) uint64
}

func newCOWMap[K comparable, V any](hash func(K) uint64) *cowMap[K, V] {
	return &cowMap[K, V]{hash: hash}
}

func (t *cowMap[K, V]) get(k K) (V, bool) {
	v, found := t.shards[t.hash(k)%shardCount][k]
	return v, found
}

func (t *cowMap[K, V]) put(k K, v V) {
	t.writableShard(t.hash(k) % shardCount)[k] = v
}

func (t *cowMap[K, V]) remove(k K) {
	delete(t.writableShard(t.hash(k)%shardCount), k)
}

// writableShard returns the shard for writing; it copies the shard first if a frozen copy
// may still read it.
func (t *cowMap[K, V]) writableShard(i uint64) map[K]V {
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

// freeze returns a copy for readers that later writes to t do not change.
func (t *cowMap[K, V]) freeze() *cowMap[K, V] {
	t.owned = [shardCount]bool{}
	return &cowMap[K, V]{shards: t.shards, hash: t.hash}
}

func (t *cowMap[K, V]) all(yield func(K, V) bool) {
	for _, m := range t.shards {
		for k, v := range m {
			if !yield(k, v) {
				return
			}
		}
	}
}
