package measure

import (
	"fmt"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	for _, sc := range scenarios() {
		if sc.name != "five times its rate" && sc.name != "saturation" && sc.name != "long and short" && sc.name != "bursts" {
			continue
		}
		f := newFleet(sites[0], sc, policies()[0], 1)
		wins := map[int]int{}
		run, wait, n := 0, 0, 0
		f.every(time.Second, func() {
			for _, e := range f.engines {
				run += len(e.running)
				wait += len(e.waiting)
				n++
			}
		})
		_ = wins
		calls := f.run()
		var late, gap, ref, all int
		var qwait, first time.Duration
		for _, c := range calls {
			if !c.within || c.organisation == sc.beyond-1 {
				continue
			}
			all++
			if c.refused {
				ref++
				continue
			}
			if c.finished.IsZero() {
				continue
			}
			if c.firstToken.Sub(c.arrived) > firstTokenGoal {
				late++
			} else if !c.good() {
				gap++
			}
			qwait += c.granted.Sub(c.arrived)
			first += c.firstToken.Sub(c.granted)
		}
		fmt.Println(sc.name, "all", all, "late", late, "gap", gap, "refused", ref, "queue", qwait/time.Duration(all-ref), "engine first", first/time.Duration(all-ref), "running", run/n, "waiting", wait/n)
	}
}
