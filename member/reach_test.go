package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLogReach(t *testing.T) {
	ago := func(d time.Duration) time.Time { return modelStart.Add(-d) }
	for _, c := range []struct {
		own, others time.Time
		want        LogReachability
	}{
		{ago(time.Second), ago(time.Hour), LogReachable},
		{ago(time.Minute), ago(time.Second), LogUnreachable},
		{time.Time{}, ago(time.Second), LogUnreachable},
		{ago(time.Minute), ago(time.Minute), LogDown},
		{time.Time{}, time.Time{}, LogDown},
	} {
		s := Status{LogContact: c.own, Fleet: Fleet{LogContact: c.others}, logContactMaxAge: DefaultTiming().LogContactMaxAge}
		is.New(t).Equal(s.LogReachability(modelStart), c.want)
	}
}
