package member

import (
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// sequenceFaults returns the faults of the exhaustive test, for three members and one that joins. They
// last six seconds, which is longer than a lease and its grant.
func sequenceFaults() []fault {
	const long = 6 * time.Second
	out := []fault{{logOutage, 0, 0, long}, {slowAppends, 0, 0, long}, {join, 0, 3, 0}}
	for slot := range 3 {
		for _, kind := range []faultKind{crash, restart, pauseProcess, lag, cutLog, cutNet, isolate, partition, leave} {
			out = append(out, fault{kind, 0, slot, long})
		}
	}
	return out
}

// sequenceOffsets place a fault relative to the one before: at once, before a lapse, around its
// append, and after the takeover.
var sequenceOffsets = []time.Duration{0, 2 * time.Second, 4500 * time.Millisecond, 9 * time.Second}

// forEachSequence calls f with every sequence of faults up to a length.
func forEachSequence(prefix []fault, depth int, offsets []time.Duration, f func([]fault)) {
	if depth == 0 {
		return
	}
	for _, next := range sequenceFaults() {
		here, from := offsets, 8*time.Second
		if len(prefix) == 0 {
			here = here[:1]
		} else {
			from = prefix[len(prefix)-1].At
		}
		for _, offset := range here {
			next.At = from + offset
			seq := slices.Concat(prefix, []fault{next})
			f(seq)
			forEachSequence(seq, depth-1, offsets, f)
		}
	}
}

// Runs every sequence of two faults over three members, with the second at once or around the lapse
// that the first causes. MEMBER_WALK sets the length of the sequences and selects all offsets, as in
// make proof.
func TestRulesHoldOverFaultSequences(t *testing.T) {
	t.Parallel()
	offsets := sequenceOffsets
	depth, err := strconv.Atoi(os.Getenv("MEMBER_WALK"))
	if err != nil {
		depth = 2
		offsets = []time.Duration{0, 4500 * time.Millisecond}
	}
	var played, lapses atomic.Int64
	var group errgroup.Group
	group.SetLimit(4)
	forEachSequence(nil, depth, offsets, func(faults []fault) {
		group.Go(func() error {
			m := schedule{Seed: 1, Members: 3, Faults: faults}.run(rules{}, modelTiming())
			played.Add(1)
			lapses.Add(m.stats.lapses)
			if m.failure != "" {
				t.Errorf("%v: %s", faults, m.failure)
			}
			return nil
		})
	})
	_ = group.Wait()
	t.Logf("%d sequences, %d lapses", played.Load(), lapses.Load())
}
