package pool

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"galenastair"
)

// mostParts bounds the prompt parts remembered of one server. Its memory holds some
// sixty requests; shared parts are few and used again at once.
const mostParts = 256

// cache guesses which prompt parts a server keeps: those sent there last.
type cache struct {
	order *list.List
	at    map[uint64]*list.Element
}

func newCache() *cache { return &cache{order: list.New(), at: map[uint64]*list.Element{}} }

// partKeys chains the parts of a prompt: a part is only kept with all before it, and
// only for the same model and adapter.
func partKeys(h galenastair.Hints) []uint64 {
	keys := make([]uint64, len(h.Parts))
	d := xxhash.New()
	_, _ = d.WriteString(string(h.Model))
	for i, p := range h.Parts {
		_, _ = d.WriteString("," + p.ID)
		keys[i] = d.Sum64()
	}
	return keys
}

// match returns the leading tokens of the prompt that are probably kept.
func (c *cache) match(keys []uint64, parts []galenastair.PromptPart) galenastair.Tokens {
	var sum galenastair.Tokens
	for i, k := range keys {
		if _, ok := c.at[k]; !ok {
			break
		}
		sum += parts[i].Tokens
	}
	return sum
}

func (c *cache) add(keys []uint64) {
	for _, k := range keys {
		if e, ok := c.at[k]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.at[k] = c.order.PushFront(k)
	}
	for c.order.Len() > mostParts {
		last := c.order.Back()
		delete(c.at, c.order.Remove(last).(uint64))
	}
}
