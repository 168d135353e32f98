package speed

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// Guards against an instance that never leads and keeps every process that was ever registered.
func TestInstanceThatDoesNotLeadForgetsEndedProcesses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	a := NewAggregator(now)
	for i := range 500 {
		k := KeyOf(galenastair.BackendServerID(strconv.Itoa(i)), 1)
		a.SetServer(k, "writer")
		a.RemoveServer(now, k)
		now = now.Add(removedTTL / 10)
	}
	is.True(len(a.servers) <= 12)
}
