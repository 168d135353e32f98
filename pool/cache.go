package pool

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"galenastair"
)

// maxCachedParts bounds the prompt parts remembered per server. A server's cache holds some sixty
// requests; shared parts are few and are used again soon.
const maxCachedParts = 256

// cache estimates which prompt parts a server has cached: those sent there most recently.
type cache struct {
	order   *list.List
	entries map[uint64]*list.Element
}

func newCache() *cache { return &cache{order: list.New(), entries: map[uint64]*list.Element{}} }

// prefixKeys returns a key for each prefix of the prompt's parts. A part is cached only together
// with all parts before it, and only for the same model and adapter.
func prefixKeys(h galenastair.RequestHints) []uint64 {
	keys := make([]uint64, len(h.PromptParts))
	d := xxhash.New()
	_, _ = d.WriteString(string(h.Model))
	for i, p := range h.PromptParts {
		_, _ = d.WriteString("," + p.ID)
		keys[i] = d.Sum64()
	}
	return keys
}

// match returns the number of leading prompt tokens that are probably cached.
func (c *cache) match(keys []uint64, parts []galenastair.PromptPart) galenastair.Tokens {
	var sum galenastair.Tokens
	for i, k := range keys {
		if _, ok := c.entries[k]; !ok {
			break
		}
		sum += parts[i].Tokens
	}
	return sum
}

func (c *cache) add(keys []uint64) {
	for _, k := range keys {
		if e, ok := c.entries[k]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[k] = c.order.PushFront(k)
	}
	for c.order.Len() > maxCachedParts {
		last := c.order.Back()
		delete(c.entries, c.order.Remove(last).(uint64))
	}
}
