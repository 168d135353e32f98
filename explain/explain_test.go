package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logs = `ts=2026-01-01T10:00:00Z instance=n1 event="dependency lost" peer=127.0.0.1:1 err=timeout
ts=2026-01-01T10:00:01Z instance=n2 event=leader leader=127.0.0.1:2
not a line of ours = = "
ts=2026-01-01T10:00:02.5Z instance=n1 event=refused request=r1 organisation=org status=429 code=RateExceeded cause="over"
ts=2026-01-01T10:00:02Z instance=n1 event=route request=r1 server=s1 foretold=20ms
ts=2026-01-01T10:00:03Z instance=n1 event=answered request=r2 status=200 code= cause=null
`

// Guards against a trace that is out of chronological order, or that contains state changes of
// instances that did not handle the request.
func TestNewTrace(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(strings.Replace(logs, "not a line of ours = = \"\n", "", 1)))
	is.NoErr(err)
	s := NewTrace(lines, "r1")
	is.Equal(len(s.Request), 2)
	is.Equal(s.Request[0].Event, "route")
	is.Equal(len(s.StateChanges), 1)
	is.Equal(s.StateChanges[0].Event, "dependency lost")
	is.True(strings.Contains(s.Cause(), "RateExceeded"))
	is.True(strings.Contains(s.Request[0].String(), "server=s1"))
	is.True(strings.Contains(NewTrace(lines, "r2").Cause(), "own answer"))
	is.Equal(len(NewTrace(lines, "none").Request), 0)
	is.True(strings.Contains(NewTrace(lines, "none").Cause(), "not logged"))
}
