package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const auditLogs = `ts=2026-01-01T10:00:00Z instance=n1 event=start
ts=2026-01-01T10:00:01Z instance=n1 event=route request=r1 server=s1
ts=2026-01-01T10:00:02Z instance=n1 event=answered request=r1 status=200 code=
ts=2026-01-01T10:00:02Z instance=n1 event=refused request=r2 status=429 code=RateExceeded
ts=2026-01-01T10:00:03Z instance=n1 event=route request=r3 server=s1
ts=2026-01-01T10:00:04Z instance=n2 event=route request=r4 server=s1
ts=2026-01-01T10:00:05Z instance=n1 event=start
ts=2026-01-01T10:00:05Z instance=n1 event="broken off" request=r5 status=200 code=Timeout
ts=2026-01-01T10:00:06Z instance=n1 event="log lines left out" lines=7 total=7
`

// Guards against an audit that miscounts how requests ended. r3 has no final event because its
// instance restarted, so it counts as interrupted; r4 has none although its instance did not
// restart, so it is listed as unexplained.
func TestNewAudit(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(auditLogs))
	is.NoErr(err)
	a := NewAudit(lines)
	is.Equal(a.Requests, 5)
	is.Equal(a.Answered, 1)
	is.Equal(a.Reasons["refused RateExceeded"], 1)
	is.Equal(a.Reasons["broken off Timeout"], 1)
	is.Equal(a.Interrupted, []string{"r3"})
	is.Equal(a.Unexplained, []string{"r4"})
	is.Equal(a.DroppedLines, 7)
	var text strings.Builder
	is.NoErr(a.WriteText(&text))
	is.True(strings.Contains(text.String(), "unexplained request r4"))
}
