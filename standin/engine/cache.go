package engine

import (
	"math/rand/v2"
	"time"

	"galenastair"
	"galenastair/route"
)

const (
	// maxEvents bounds the cache events that are kept for readers.
	maxEvents = 4096
	// blockTokens is what one hash of route.Prefix covers, 256 bytes.
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

// cache holds the KV cache of running requests and, in what is left, of prompt
// prefixes, of which the oldest goes first.
type cache struct {
	capacity galenastair.Tokens
	running  galenastair.Tokens
	prefixes map[prefixKey]galenastair.Tokens
	order    []prefixKey
	held     galenastair.Tokens
	gaps     float64
	sequence int64
	events   []timedEvent
}

func newCache(s Settings) *cache {
	return &cache{
		capacity: galenastair.Tokens(s.CacheMemory / max(s.BytesPerToken, 1)),
		prefixes: map[prefixKey]galenastair.Tokens{},
		gaps:     s.EventGaps,
	}
}

// fits says whether a request could ever run here.
func (c *cache) fits(t galenastair.Tokens) bool { return t <= c.capacity }

func (c *cache) reserve(t galenastair.Tokens) bool {
	if c.running+t > c.capacity {
		return false
	}
	c.running += t
	c.evict(time.Now())
	return true
}

func (c *cache) release(t galenastair.Tokens) { c.running -= t }

func (c *cache) evict(now time.Time) {
	for c.running+c.held > c.capacity && len(c.order) > 0 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.held -= c.prefixes[oldest]
		delete(c.prefixes, oldest)
		c.tell(now, oldest, true)
	}
}

// use caches the blocks of a prompt and returns how many tokens were not cached.
func (c *cache) use(now time.Time, s *sequence) galenastair.Tokens {
	blocks := route.PrefixHashes(s.request.Model, []byte(s.request.Prompt))
	cached := 0
	for cached < len(blocks) && c.holds(prefixKey{s.request.Model, blocks[cached]}) {
		cached++
	}
	for _, b := range blocks[cached:] {
		c.insert(now, prefixKey{s.request.Model, b}, blockTokens)
	}
	return max(0, s.prompt-galenastair.Tokens(cached*blockTokens))
}

func (c *cache) holds(key prefixKey) bool {
	_, ok := c.prefixes[key]
	return ok
}

func (c *cache) insert(now time.Time, key prefixKey, t galenastair.Tokens) {
	if c.holds(key) {
		return
	}
	c.prefixes[key] = t
	c.order = append(c.order, key)
	c.held += t
	c.tell(now, key, false)
	c.evict(now)
}

func (c *cache) tell(now time.Time, key prefixKey, dropped bool) {
	c.sequence++
	if c.gaps > 0 && rand.Float64() < c.gaps {
		return
	}
	ev := galenastair.CacheEvent{Sequence: c.sequence, Model: key.model, Prefix: key.prefix, Dropped: dropped}
	c.events = append(c.events, timedEvent{ev, now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// after returns the events after a sequence that are old enough to be out.
func (c *cache) after(sequence int64, until time.Time) []galenastair.CacheEvent {
	var out []galenastair.CacheEvent
	for _, ev := range c.events {
		if ev.Sequence > sequence && !ev.at.After(until) {
			out = append(out, ev.CacheEvent)
		}
	}
	return out
}
