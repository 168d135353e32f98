package member

import (
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

type faultKind int

const (
	crash faultKind = iota
	restart
	pauseProcess
	lag
	cutLog
	cutNet
	logOutage
	slowAppends
	join
	leave
	isolate
	partition
	faultKinds
)

// fault is a failure or a change of membership at a true time.
type fault struct {
	Kind faultKind
	At   time.Duration
	Slot int
	For  time.Duration
}

func (f fault) String() string {
	names := []string{"crash", "restart", "pause", "lag", "cutLog", "cutNet", "logOutage", "slowAppends", "join", "leave", "isolate", "partition"}
	return fmt.Sprintf("%s(%d)@%v+%v", names[f.Kind], f.Slot, f.At, f.For)
}

func (m *model) processAt(slot int) *process {
	for i := len(m.procs) - 1; i >= 0; i-- {
		if m.procs[i].slot == slot && !m.procs[i].dead {
			return m.procs[i]
		}
	}
	return nil
}

func (m *model) inject(f fault) {
	until := m.now + f.For
	p := m.processAt(f.Slot)
	switch {
	case f.Kind == logOutage:
		m.logDown = true
		m.after(f.For, func() { m.logDown = false })
	case f.Kind == slowAppends:
		m.slowAppendsUntil = until
	case p == nil:
		if f.Kind == restart || f.Kind == join {
			m.start(f.Slot)
		}
	case f.Kind == crash:
		p.dead = true
	case f.Kind == restart:
		p.dead = true
		m.start(f.Slot)
	case f.Kind == pauseProcess:
		p.pausedUntil = until
	case f.Kind == lag:
		p.laggingUntil = until
	case f.Kind == cutLog:
		p.logCutUntil = until
	case f.Kind == cutNet:
		p.netCutUntil = until
	case f.Kind == isolate:
		p.isolatedUntil = until
	case f.Kind == partition:
		p.isolatedUntil = until
		if q := m.processAt((f.Slot + 1) % 4); q != nil {
			q.isolatedUntil = until
		}
	case f.Kind == leave:
		m.runWhenAwake(p, func() { p.Leave(p.localTime(m)) })
		m.after(3*time.Second, func() { p.dead = p.dead || p.Left() })
	}
}

// schedule is a run of the model: the members at the start, and the faults.
type schedule struct {
	Seed    uint64
	Members int
	Faults  []fault
}

// modelTiming shortens the lease for outages so that it ends within a run.
func modelTiming() Timing {
	t := DefaultTiming()
	t.OutageLeaseDuration = 20 * time.Second
	return t
}

// convergenceLimit is how long a run may take to converge after its faults; starting a new ring takes longest.
const convergenceLimit = 150 * time.Second

func (s schedule) run(r rules, t Timing) *model {
	m := newModel(r, t, s.Seed)
	end := 10 * time.Second
	for i := range s.Members {
		m.after(time.Duration(i)*100*time.Millisecond, func() { m.start(i) })
	}
	for _, f := range s.Faults {
		m.after(f.At, func() { m.inject(f) })
		end = max(end, f.At+f.For)
	}
	m.run(end)
	for m.failure == "" && m.now < end+convergenceLimit && !m.converged() {
		m.run(m.now + 5*time.Second)
	}
	if m.failure == "" && !m.converged() {
		m.failure = fmt.Sprintf("dead members remain in the ring, or living ones are not in it: %d members", len(m.logState.Ring))
	}
	return m
}

func drawSchedule(members int) *rapid.Generator[schedule] {
	return rapid.Custom(func(t *rapid.T) schedule {
		one := rapid.Custom(func(t *rapid.T) fault {
			return fault{
				Kind: faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
				At:   8*time.Second + 100*time.Millisecond*time.Duration(rapid.IntRange(0, 250).Draw(t, "at")),
				Slot: rapid.IntRange(0, members).Draw(t, "slot"),
				For:  100 * time.Millisecond * time.Duration(rapid.IntRange(1, 250).Draw(t, "for")),
			}
		})
		return schedule{
			Seed:    rapid.Uint64().Draw(t, "seed"),
			Members: rapid.IntRange(1, members).Draw(t, "members"),
			Faults:  rapid.SliceOfN(one, 0, 8).Draw(t, "faults"),
		}
	})
}

// If a role had two owners, two instances would both count a request against an organisation's share,
// or two leaders would send orders. No sequence of crashes, pauses, lag, partitions, outages, late
// appends, joins and leaves may lead to that. This test draws sequences at random.
func TestRulesHoldOverRandomSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(4).Draw(t, "schedule")
		if m := s.run(rules{}, modelTiming()); m.failure != "" {
			t.Fatal(m.failure)
		}
	})
}

// Runs the number of random schedules given by MEMBER_SEEDS, for make proof.
func TestRulesHoldOverManySeeds(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("MEMBER_SEEDS"))
	var lapses, joins, held atomic.Int64
	var group errgroup.Group
	group.SetLimit(4)
	for seed := range seeds {
		s := drawSchedule(4).Example(seed)
		group.Go(func() error {
			m := s.run(rules{}, modelTiming())
			lapses.Add(m.stats.lapses)
			joins.Add(m.stats.joins)
			held.Add(m.stats.held)
			if m.failure != "" {
				return fmt.Errorf("seed %d: %s: %+v", seed, m.failure, s)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d seeds, %d lapses, %d joins, %d readings of a held lease", seeds, lapses.Load(), joins.Load(), held.Load())
}
