package engine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"galenastair"
)

// PromptDigest returns the hash of a prompt, as Token takes it.
func PromptDigest(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Token returns the token at index i, from 0, of a model's response to a prompt.
func Token(model galenastair.ModelName, promptDigest uint64, i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], promptDigest)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	h := xxhash.New()
	_, _ = h.WriteString(string(model))
	_, _ = h.Write(b[:])
	return " " + strconv.FormatUint(h.Sum64()&0xffffff, 36)
}
