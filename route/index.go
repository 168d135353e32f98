package route

// indexGeneration is how many prefixes one generation of the index holds. Two
// generations are 65,536 blocks, about 4 million tokens, which is more than the
// engines that one entry mostly sends to can keep.
const indexGeneration = 1 << 15

// holders names the backend servers, two at most, that last cached a prefix.
type holders [2]*server

// index remembers which backend servers have probably cached which prefixes. It
// forgets by generations: what was not used during a whole one is gone, which
// bounds the memory and lets lost "dropped" events heal.
type index struct {
	young map[uint64]holders
	old   map[uint64]holders
}

func newIndex() *index {
	return &index{young: map[uint64]holders{}}
}

func (x *index) get(h uint64) holders {
	if hs, ok := x.young[h]; ok {
		return hs
	}
	return x.old[h]
}

func (x *index) put(h uint64, hs holders) {
	if len(x.young) >= indexGeneration {
		x.old = x.young
		x.young = make(map[uint64]holders, indexGeneration)
	}
	x.young[h] = hs
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

// match returns how many leading blocks a backend server has probably cached.
func (x *index) match(prefix []uint64, s *server) int {
	for n := len(prefix); n > 0; n-- {
		hs := x.get(prefix[n-1])
		if hs[0] == s || hs[1] == s {
			return n
		}
	}
	return 0
}

// longest returns the holders of the longest cached leading part, and its length.
func (x *index) longest(prefix []uint64) (holders, int) {
	for n := len(prefix); n > 0; n-- {
		if hs := x.get(prefix[n-1]); hs[0] != nil {
			return hs, n
		}
	}
	return holders{}, 0
}
