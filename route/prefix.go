package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"galenastair"
)

// prefixBlock is how many bytes of a prompt one hash covers, about 64 tokens:
// the size in which engines keep their caches. Smaller blocks gain nothing there.
const prefixBlock = 256

// prefixBlocks bounds the hashes of one prompt: 8 KB of common beginning tell
// conversations and templates apart, and hashing them takes about a microsecond.
const prefixBlocks = 32

// Prefix returns the chained hashes of a prompt's leading blocks for a model:
// two prompts share the first n hashes if their first n blocks are the same.
func Prefix(m galenastair.ModelName, prompt []byte) []uint64 {
	n := min(len(prompt)/prefixBlock, prefixBlocks)
	hashes := make([]uint64, n)
	var link [8]byte
	last := xxhash.Sum64String(string(m))
	for i := range n {
		var d xxhash.Digest
		d.Reset()
		binary.LittleEndian.PutUint64(link[:], last)
		_, _ = d.Write(link[:])
		_, _ = d.Write(prompt[i*prefixBlock : (i+1)*prefixBlock])
		last = d.Sum64()
		hashes[i] = last
	}
	return hashes
}
