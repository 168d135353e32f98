package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const lossLogs = `ts=2026-01-01T10:00:00Z instance=n1 event=quota organisation=o1 rate=1000 burst=1000
ts=2026-01-01T10:00:01Z instance=n1 event=answered request=r1 organisation=o1 status=200 code= sends=1 total=900ms model=m1 tokens=500 cause=null
ts=2026-01-01T10:00:01.2Z instance=n1 event=refused request=r2 organisation=o1 status=429 code=RateExceeded sends=0 total=1ms model=m1 tokens=800 cause="the organisation is over its rate and burst"
ts=2026-01-01T10:00:05Z instance=n2 event=refused request=r3 organisation=o2 status=503 code=NoBackendServer sends=0 total=1ms model=m2 tokens=800 cause="no copy is there or coming"
ts=2026-01-01T10:00:05.5Z instance=n2 event=refused request=r4 organisation=o2 status=503 code=NoBackendServer sends=0 total=1ms model=m3 tokens=800 cause="no copy is there or coming"
ts=2026-01-01T10:00:06Z instance=n2 event="broken off" request=r5 organisation=o2 status=200 code=Timeout sends=1 total=1ms model=m3 tokens=800 cause="i-71a ran out of time"
ts=2026-01-01T10:00:07Z instance=n2 event=refused request=r6 organisation=o2 status=499 code=CallerLeft sends=1 total=1ms model=m3 tokens=800 cause="the caller left"
`

// Guards against a report that hides the most frequent cause: causes that differ in names only
// form one group, and requests whose caller left count as no failure. The usage table shows
// whether an organisation was refused below its rate.
func TestNewFailureReport(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(lossLogs))
	is.NoErr(err)
	l := NewFailureReport(lines)
	is.Equal(len(l.Groups), 3)
	is.Equal(l.Groups[0].Result, "refused NoBackendServer")
	is.Equal(l.Groups[0].Count, 2)
	is.Equal(l.Groups[1].Cause, "# ran out of time")
	var text strings.Builder
	is.NoErr(l.WriteText(&text))
	is.True(strings.Contains(text.String(), "10:00:04 2"))
	is.True(strings.Contains(text.String(), "models m2 1, m3 1; organisations o2 2"))
	is.True(strings.Contains(text.String(), "organisation o1, rate 1000"))
	is.True(strings.Contains(text.String(), "10:00:00 25/40"))
}
