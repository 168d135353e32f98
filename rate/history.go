package rate

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

// ErrContractExceeded is returned if a history contains more tokens than the contract
// allows.
var ErrContractExceeded = eris.New("more tokens were granted than rate and burst allow")

// Grant is a history entry for one charged request. The entry that is written when the
// request is settled replaces the earlier one.
type Grant struct {
	Organisation galenastair.Organisation
	Request      galenastair.RequestID
	Instance     galenastair.InstanceID
	At           time.Time
	Tokens       galenastair.Tokens
}

// CheckHistory returns an error if, in any window of length t, the grants of one
// organisation, merged from all instances, exceed burst plus rate times t.
//
// A bucket that starts full conforms to exactly the histories in which no window is
// exceeded, so a single pass over the grants ordered by time checks all windows.
func CheckHistory(grants []Grant, c Contract) error {
	b := NewFullBucket(c.TotalLimits(), time.Time{})
	for _, g := range sortGrants(grants) {
		if g.Tokens > 0 && !b.Take(g.At, g.Tokens) {
			over := g.Tokens - b.Available(g.At)
			return eris.Wrapf(ErrContractExceeded, "%s: request %s at %s by %s: %d tokens over",
				g.Organisation, g.Request, g.At.Format(time.RFC3339Nano), g.Instance, over)
		}
	}
	return nil
}

// sortGrants keeps the last entry of each charge and sorts by time.
func sortGrants(grants []Grant) []Grant {
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
