package route

// maxGenerationSize is the number of prefixes in one generation of the index. Two generations
// hold 65,536 blocks, about 4 million tokens, more than the engines that one instance mostly
// sends to can cache.
const maxGenerationSize = 1 << 15

// holders are the backend servers, at most two, that last cached a prefix.
type holders [2]*server

// index records which backend servers have probably cached which prefixes. When the current
// generation is full it replaces the previous one, which deletes the prefixes that were not
// used during a whole generation. This bounds the memory and removes the prefixes whose
// eviction events were lost.
type index struct {
	currentGeneration  map[uint64]holders
	previousGeneration map[uint64]holders
}

func newIndex() *index {
	return &index{currentGeneration: map[uint64]holders{}}
}

func (x *index) get(h uint64) holders {
	if hs, ok := x.currentGeneration[h]; ok {
		return hs
	}
	return x.previousGeneration[h]
}

func (x *index) put(h uint64, hs holders) {
	if len(x.currentGeneration) >= maxGenerationSize {
		x.previousGeneration = x.currentGeneration
		x.currentGeneration = make(map[uint64]holders, maxGenerationSize)
	}
	x.currentGeneration[h] = hs
}

func (x *index) add(h uint64, s *server) {
	hs := x.get(h)
	if hs[0] == s {
		x.put(h, hs)
		return
	}
	x.put(h, holders{s, hs[0]})
}

func (x *index) remove(h uint64, s *server) {
	hs := x.get(h)
	if hs[0] != s && hs[1] != s {
		return
	}
	if hs[0] == s {
		hs[0] = hs[1]
	}
	hs[1] = nil
	x.put(h, hs)
}

// match returns the number of leading blocks that a backend server has probably cached.
func (x *index) match(prefix []uint64, s *server) int {
	for n := len(prefix); n > 0; n-- {
		hs := x.get(prefix[n-1])
		if hs[0] == s || hs[1] == s {
			return n
		}
	}
	return 0
}

// longest returns the holders of the longest cached prefix and its length in blocks.
func (x *index) longest(prefix []uint64) (holders, int) {
	for n := len(prefix); n > 0; n-- {
		if hs := x.get(prefix[n-1]); hs[0] != nil {
			return hs, n
		}
	}
	return holders{}, 0
}
