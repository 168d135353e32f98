package engine

import (
	"math/rand/v2"
	"time"

	"galenastair"
	"galenastair/route"
)

const (
	// maxEvents limits the number of cache events kept for clients to fetch.
	maxEvents = 4096
	// blockTokens is the number of tokens covered by one hash of route.Prefix, 256 bytes.
	blockTokens = 64
)

type prefixKey struct {
	model  galenastair.ModelName
	prefix uint64
}

type timedEvent struct {
	galenastair.CacheEvent
	at time.Time
}

// cache models the KV cache. Running requests reserve their share of the capacity, and
// prompt prefixes use the rest; the oldest prefix is evicted first.
type cache struct {
	capacity       galenastair.Tokens
	reservedTokens galenastair.Tokens
	prefixes       map[prefixKey]galenastair.Tokens
	insertionOrder []prefixKey
	cachedTokens   galenastair.Tokens
	eventLossRate  float64
	lastSequence   int64
	events         []timedEvent
}

func newCache(s Settings) *cache {
	return &cache{
		capacity:      galenastair.Tokens(s.CacheMemory / max(s.BytesPerToken, 1)),
		prefixes:      map[prefixKey]galenastair.Tokens{},
		eventLossRate: s.EventLossRate,
	}
}

// fits reports whether a request of this size can ever run on the engine.
func (c *cache) fits(t galenastair.Tokens) bool { return t <= c.capacity }

func (c *cache) reserve(t galenastair.Tokens) bool {
	if c.reservedTokens+t > c.capacity {
		return false
	}
	c.reservedTokens += t
	c.evict(time.Now())
	return true
}

func (c *cache) release(t galenastair.Tokens) { c.reservedTokens -= t }

func (c *cache) evict(now time.Time) {
	for c.reservedTokens+c.cachedTokens > c.capacity && len(c.insertionOrder) > 0 {
		oldest := c.insertionOrder[0]
		c.insertionOrder = c.insertionOrder[1:]
		c.cachedTokens -= c.prefixes[oldest]
		delete(c.prefixes, oldest)
		c.recordEvent(now, oldest, true)
	}
}

// cachePrompt inserts the blocks of a prompt and returns the number of prompt tokens that
// were not cached before.
func (c *cache) cachePrompt(now time.Time, s *sequence) galenastair.Tokens {
	blocks := route.PrefixHashes(s.request.Model, []byte(s.request.Prompt))
	cached := 0
	for cached < len(blocks) && c.contains(prefixKey{s.request.Model, blocks[cached]}) {
		cached++
	}
	for _, b := range blocks[cached:] {
		c.insert(now, prefixKey{s.request.Model, b}, blockTokens)
	}
	return max(0, s.promptTokens-galenastair.Tokens(cached*blockTokens))
}

func (c *cache) contains(key prefixKey) bool {
	_, ok := c.prefixes[key]
	return ok
}

func (c *cache) insert(now time.Time, key prefixKey, t galenastair.Tokens) {
	if c.contains(key) {
		return
	}
	c.prefixes[key] = t
	c.insertionOrder = append(c.insertionOrder, key)
	c.cachedTokens += t
	c.recordEvent(now, key, false)
	c.evict(now)
}

func (c *cache) recordEvent(now time.Time, key prefixKey, dropped bool) {
	c.lastSequence++
	if c.eventLossRate > 0 && rand.Float64() < c.eventLossRate {
		return
	}
	ev := galenastair.CacheEvent{Sequence: c.lastSequence, Model: key.model, Prefix: key.prefix, Evicted: dropped}
	c.events = append(c.events, timedEvent{ev, now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events after the given sequence number that were recorded no
// later than until.
func (c *cache) eventsAfter(sequence int64, until time.Time) []galenastair.CacheEvent {
	var out []galenastair.CacheEvent
	for _, ev := range c.events {
		if ev.Sequence > sequence && !ev.at.After(until) {
			out = append(out, ev.CacheEvent)
		}
	}
	return out
}
