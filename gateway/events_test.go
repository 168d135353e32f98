package gateway

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against events that are lost, changed or held back, depending on the pieces in which they arrive.
func TestEventsDoNotDependOnTheirPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"id: 1\n", "data: a\n", "\n", "\r\n", "b", "id: 2\r\n"})).Draw(t, "lines"), "")
		var whole, split eventSplitter
		want := whole.split([]byte(text))
		var got []byte
		for rest := []byte(text); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			got = append(got, split.split(rest[:n])...)
			rest = rest[n:]
		}
		if !bytes.Equal(got, want) || split.lastEventID != whole.lastEventID {
			t.Fatalf("got %q, id %q, want %q, id %q", got, split.lastEventID, want, whole.lastEventID)
		}
	})
}
