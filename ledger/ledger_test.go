package ledger

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

var (
	startTime = time.Unix(1000, 0)
	leader1   = Leader{"i0", 1}
	leader2   = Leader{"i1", 2}
)

func issue(l *Ledger, now time.Time, by Leader, id string, memory galenastair.Bytes) ApplyResult {
	return l.Apply(now, record(KindIssued, by, Issued{order(by, id, memory)}), by)
}

func order(by Leader, id string, memory galenastair.Bytes) galenastair.Order {
	return galenastair.Order{
		ID: galenastair.OrderID(id), Fence: by.Fence, BackendServer: "e", Kind: galenastair.LoadModel,
		Weight: galenastair.ModelWeights{Name: galenastair.ModelName("m-" + id), Memory: memory},
	}
}

func record(k galenastair.RecordKind, by Leader, body any) galenastair.Record {
	raw, _ := json.Marshal(body)
	return galenastair.Record{Kind: k, Author: string(by.ID), Body: raw}
}

func report(checks bool, f galenastair.Fence, loaded ...string) galenastair.EngineReport {
	r := galenastair.EngineReport{BackendServer: "e", MemoryTotal: 10, ChecksFence: checks, HighestFence: f}
	for _, id := range loaded {
		r.Loaded = append(r.Loaded, galenastair.LoadedWeights{Weight: order(leader1, id, 6).Weight, State: galenastair.LoadStateReady})
	}
	return r
}

// A leader records a load and is paused before sending it. Its successor must keep the
// memory reserved: for the order lifetime on an engine that ignores fencing tokens, and until
// a report shows a higher token on one that checks them. The test fails if SettleableOrders
// ignores ChecksFence or does not compare the tokens.
func TestFormerLeadersOrderKeepsItsMemory(t *testing.T) {
	for _, c := range []struct {
		checks bool
		fence  galenastair.Fence
		after  time.Duration
		want   Settlement
	}{
		{checks: false, fence: leader2.Fence, after: time.Second},
		{checks: true, fence: leader1.Fence, after: time.Second},
		{checks: true, fence: leader2.Fence, after: time.Second, want: Superseded},
		{checks: false, fence: leader2.Fence, after: DefaultOrderLifetime, want: Expired},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			l := New(DefaultOrderLifetime)
			l.ApplyReport(startTime, report(c.checks, leader1.Fence))
			is.Equal(issue(l, startTime, leader1, "a", 6), Applied)
			is.Equal(issue(l, startTime, leader2, "b", 1), Applied)
			is.Equal(issue(l, startTime, leader1, "c", 1), Applied) // issue makes leader1 the leader again
			l.Apply(startTime, galenastair.Record{}, leader2)
			now := startTime.Add(c.after)
			l.ApplyReport(now, report(c.checks, c.fence))
			is.True(!l.Fits(order(leader2, "d", 4)))
			got := l.SettleableOrders(now)
			if c.want == "" {
				is.Equal(len(got), 0)
				return
			}
			is.True(len(got) >= 2)
			for _, s := range got {
				is.Equal(s.Settlement, c.want)
				is.Equal(l.Apply(now, record(KindSettled, leader2, s), leader2), Applied)
			}
			is.True(!l.Fits(order(leader2, "d", 4))) // the memory stays reserved until a later report
			l.ApplyReport(now.Add(time.Second), report(c.checks, c.fence))
			is.True(l.Fits(order(leader2, "d", 4)))
		})
	}
}

// An order that is read back counts only if its author was the leader at its offset, so the
// order of a leader that was paused past its lease has no effect. The test fails if writtenByLeader
// always returns true.
func TestOrderFromNonLeaderIsVoid(t *testing.T) {
	is := is.New(t)
	l := New(DefaultOrderLifetime)
	rec := record(KindIssued, leader1, Issued{order(leader1, "a", 6)})
	is.Equal(l.Apply(startTime, rec, leader2), NoEffect)
	is.Equal(len(l.PendingOrders("e")), 0)
}

// Reports can arrive out of order, and a new instance can receive one that was taken before
// its snapshot. Either would make used memory look free. The test fails if older reports are
// applied, if HasCurrentReport holds before a new report, or if Snapshot omits orders.
func TestStaleReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	l := New(DefaultOrderLifetime)
	is.True(!l.Fits(order(leader1, "a", 1))) // no report yet
	l.ApplyReport(startTime.Add(2*time.Second), report(true, 1, "x"))
	l.ApplyReport(startTime.Add(1*time.Second), report(true, 1))
	is.Equal(l.FreeMemory("e"), galenastair.Bytes(4))
	is.Equal(issue(l, startTime, leader1, "a", 3), Applied)
	raw, err := l.Snapshot()
	is.NoErr(err)

	restored := New(DefaultOrderLifetime)
	now := startTime.Add(10 * time.Second)
	is.NoErr(restored.Restore(now, raw, leader1))
	restored.ApplyReport(now.Add(-time.Second), report(true, 1))
	is.True(!restored.Fits(order(leader1, "b", 1)))
	restored.ApplyReport(now.Add(time.Second), report(true, 1, "x"))
	is.Equal(restored.FreeMemory("e"), galenastair.Bytes(1))
	again, err := restored.Snapshot()
	is.NoErr(err)
	is.Equal(string(raw), string(again))
	l.RemoveServer("e")
	is.True(!l.HasCurrentReport("e"))
}
