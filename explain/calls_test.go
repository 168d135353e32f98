package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Calls to the store are most of the daily cost. Guards against counts that are not attributed
// to the call and the instance that made them.
func TestStoreCallsByCallAndInstance(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(`ts=2026-01-01T10:00:01Z instance=n1 event="store calls" newest/keyed.op/Answered=2 read/keyed.op/Refused=3
ts=2026-01-01T10:00:12Z instance=n2 event="store calls" read/keyed.op/Refused=4
ts=2026-01-01T10:00:12Z instance=n2 event=start zone=z
`))
	is.NoErr(err)
	c := CountStoreCalls(lines)
	is.Equal(c.ByCall, map[string]int{"newest/keyed.op/Answered": 2, "read/keyed.op/Refused": 7})
	is.Equal(c.ByInstance, map[string]int{"n1": 5, "n2": 4})
	var b strings.Builder
	is.NoErr(c.WriteText(&b))
	is.True(strings.HasPrefix(b.String(), "      7  read/keyed.op/Refused\n"))
}
