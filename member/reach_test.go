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
		want        Reach
	}{
		{ago(time.Second), ago(time.Hour), Reached},
		{ago(time.Minute), ago(time.Second), OutOfReach},
		{time.Time{}, ago(time.Second), OutOfReach},
		{ago(time.Minute), ago(time.Minute), Down},
		{time.Time{}, time.Time{}, Down},
	} {
		s := Status{LogContact: c.own, Fleet: Fleet{LogContact: c.others}, contact: DefaultTiming().Contact}
		is.New(t).Equal(s.LogReach(modelStart), c.want)
	}
}
