package rate

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

// ErrOverContract says that a history holds more tokens than the contract allows.
var ErrOverContract = eris.New("more tokens were granted than rate and burst allow")

// Grant is one charged request in a history; a later one of the same request,
// written when it was settled, replaces the earlier.
type Grant struct {
	Organisation galenastair.Organisation
	Request      galenastair.RequestID
	Instance     galenastair.InstanceID
	At           time.Time
	Tokens       galenastair.Tokens
}

// CheckHistory says whether in some window t one organisation's grants, merged
// from all instances, come to more than burst plus rate times t.
//
// A bucket that starts full conforms to exactly the histories in which no window
// is exceeded, so one pass over the grants in order of time checks all windows.
func CheckHistory(grants []Grant, c Contract) error {
	b := NewFullBucket(c.Whole(), time.Time{})
	for _, g := range inOrder(grants) {
		if g.Tokens > 0 && !b.Take(g.At, g.Tokens) {
			over := g.Tokens - b.Available(g.At)
			return eris.Wrapf(ErrOverContract, "%s: request %s at %s by %s: %d tokens over",
				g.Organisation, g.Request, g.At.Format(time.RFC3339Nano), g.Instance, over)
		}
	}
	return nil
}

// inOrder keeps the last line of each charge and sorts by time.
func inOrder(grants []Grant) []Grant {
	type charge struct {
		instance galenastair.InstanceID
		request  galenastair.RequestID
		at       int64
	}
	last := make(map[charge]int)
	var kept []Grant
	for _, g := range grants {
		key := charge{g.Instance, g.Request, g.At.UnixNano()}
		if i, ok := last[key]; ok {
			kept[i].Tokens = g.Tokens
			continue
		}
		last[key] = len(kept)
		kept = append(kept, g)
	}
	slices.SortStableFunc(kept, func(a, b Grant) int { return a.At.Compare(b.At) })
	return kept
}
