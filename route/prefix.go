package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"galenastair"
)

// prefixBlockBytes is the number of prompt bytes that one hash covers, about 64 tokens. This
// is the block size of the engines' caches, so smaller blocks would find no more.
const prefixBlockBytes = 256

// maxPrefixBlocks bounds the hashes of one prompt. The first 8 KB are enough to distinguish
// conversations and templates, and hashing them takes about a microsecond.
const maxPrefixBlocks = 32

// PrefixHashes returns the chained hashes of a prompt's leading blocks for a model. Two prompts
// share the first n hashes if their first n blocks are the same.
func PrefixHashes(m galenastair.ModelName, prompt []byte) []uint64 {
	n := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, n)
	var link [8]byte
	last := xxhash.Sum64String(string(m))
	for i := range n {
		var d xxhash.Digest
		d.Reset()
		binary.LittleEndian.PutUint64(link[:], last)
		_, _ = d.Write(link[:])
		_, _ = d.Write(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		last = d.Sum64()
		hashes[i] = last
	}
	return hashes
}
