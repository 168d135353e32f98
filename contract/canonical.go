package contract

import (
	"bytes"
	"fmt"
	"strings"
)

// Canonical returns the canonical file of the contract; equal contracts have equal files.
func (c Contract) Canonical() []byte {
	c = c.Clone()
	c.Sort()
	var b bytes.Buffer
	b.WriteString("[" + section + "]\n")
	writeEntry(&b, keyOrganisation, string(c.Organisation))
	writeEntry(&b, keyRate, fmt.Sprint(int64(c.Rate)))
	writeEntry(&b, keyBurst, fmt.Sprint(int64(c.Burst)))
	writeEntry(&b, keyModels, join(c.Models))
	writeEntry(&b, keyServices, join(c.Services))
	writeEntry(&b, keyKeyHashes, join(c.KeyHashes))
	return b.Bytes()
}

func writeEntry(b *bytes.Buffer, key, value string) {
	if value != "" {
		fmt.Fprintf(b, "%s = %s\n", key, value)
	}
}

func join[T ~string](list []T) string {
	parts := make([]string, len(list))
	for i, v := range list {
		parts[i] = string(v)
	}
	return strings.Join(parts, ", ")
}
