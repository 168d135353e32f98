package contract

import (
	"bytes"
	"fmt"
	"strings"
)

// Canonical returns the one text of the contract: equal contracts have equal texts.
func (c Contract) Canonical() []byte {
	c = c.Clone()
	c.Sort()
	var b bytes.Buffer
	b.WriteString("[" + section + "]\n")
	entry(&b, keyOrganisation, string(c.Organisation))
	entry(&b, keyRate, fmt.Sprint(int64(c.Rate)))
	entry(&b, keyBurst, fmt.Sprint(int64(c.Burst)))
	entry(&b, keyModels, join(c.Models))
	entry(&b, keyServices, join(c.Services))
	entry(&b, keyKeyHashes, join(c.KeyHashes))
	return b.Bytes()
}

func entry(b *bytes.Buffer, key, value string) {
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
