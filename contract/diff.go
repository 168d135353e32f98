package contract

import (
	"fmt"
	"slices"
	"strings"
)

// Diff returns one line for each difference, with the prefix "- " for removed and "+ " for
// added entries. It is empty for equal contracts.
func Diff(old, new Contract) string {
	var b strings.Builder
	diffValue(&b, keyOrganisation, string(old.Organisation), string(new.Organisation))
	diffValue(&b, keyRate, fmt.Sprint(int64(old.Rate)), fmt.Sprint(int64(new.Rate)))
	diffValue(&b, keyBurst, fmt.Sprint(int64(old.Burst)), fmt.Sprint(int64(new.Burst)))
	diffList(&b, keyModels, old.Models, new.Models)
	diffList(&b, keyServices, old.Services, new.Services)
	diffList(&b, keyKeyHashes, old.KeyHashes, new.KeyHashes)
	return b.String()
}

func diffValue(b *strings.Builder, key, old, new string) {
	if old == new {
		return
	}
	if old != "" && old != "0" {
		fmt.Fprintf(b, "- %s = %s\n", key, old)
	}
	if new != "" && new != "0" {
		fmt.Fprintf(b, "+ %s = %s\n", key, new)
	}
}

func diffList[T ~string](b *strings.Builder, key string, old, new []T) {
	diffMissing(b, "- ", key, old, new)
	diffMissing(b, "+ ", key, new, old)
}

// diffMissing writes the entries of list that are missing in other.
func diffMissing[T ~string](b *strings.Builder, mark, key string, list, other []T) {
	sorted := slices.Sorted(slices.Values(list))
	for _, v := range sorted {
		if !slices.Contains(other, v) {
			fmt.Fprintf(b, "%s%s: %s\n", mark, key, v)
		}
	}
}
