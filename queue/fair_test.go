package queue

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"galenastair"
)

var start = time.Unix(1000, 0)

func item(o string, w, cost int64) *Item {
	return &Item{
		Organisation: galenastair.Organisation(o),
		Weight:       galenastair.TokensPerSecond(w),
		Cost:         galenastair.Tokens(cost),
	}
}

func anyItem(*Item) bool { return true }

// A large organisation has just sent 200 requests. In order of arrival, a request of a small
// organisation would wait minutes behind them; it must be among the first to be served.
func TestSmallOrganisationIsNotBehindTheFloodOfAnother(t *testing.T) {
	is := is.New(t)
	q := NewFair(MaxWaiting)
	for range 200 {
		is.Equal(len(q.Push(start, item("large", 100, 10))), 0)
	}
	small := item("small", 10, 10)
	is.Equal(len(q.Push(start, small)), 0)
	for n := range 3 {
		it := q.Next(start, anyItem)
		q.Take(start, it)
		if it == small {
			return
		}
		is.True(n < 2) // the small organisation's request must be among the first three
	}
}

// Served shares follow the contract rates whatever the arrivals are, as long as all organisations
// have requests waiting. This fails if the weight is left out of the tags.
func TestSharesFollowTheContractRates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFair(10_000)
		weights := rapid.SliceOfN(rapid.Int64Range(10, 1000), 2, 6).Draw(t, "weights")
		costs := rapid.SliceOfN(rapid.Int64Range(1, 50), 2, 6).Draw(t, "costs")
		for i, w := range weights {
			for n := range 400 {
				q.Push(start, item(fmt.Sprint(i), w, costs[(i+n)%len(costs)]))
			}
		}
		got := make([]float64, len(weights))
		for range 300 {
			it := q.Next(start, anyItem)
			q.Take(start, it)
			var i int
			_, _ = fmt.Sscan(string(it.Organisation), &i)
			got[i] += float64(it.Cost) / float64(weights[i])
		}
		for i := range got {
			for j := range got {
				// start-time fair queueing lets two flows differ by one item of each
				bound := 50/float64(weights[i]) + 50/float64(weights[j]) + 1e-9
				if got[i]-got[j] > bound {
					t.Fatalf("%d had %.3f s of its rate, %d %.3f s", i, got[i], j, got[j])
				}
			}
		}
	})
}

// One organisation fills the queue. An arriving item of another organisation must displace an item
// of the first, and must not be refused itself.
func TestFullQueueDropsWhoeverExceedsMost(t *testing.T) {
	is := is.New(t)
	q := NewFair(10)
	for range 10 {
		q.Push(start, item("flood", 100, 10))
	}
	out := q.Push(start, item("other", 100, 10))
	is.Equal(len(out), 1)
	is.Equal(out[0].Item.Organisation, galenastair.Organisation("flood"))
	is.True(errors.Is(out[0].Err, galenastair.ErrOverloaded))
	is.Equal(out[0].Err.Outcome, galenastair.OutcomeNotRun)
	is.True(out[0].Err.RetryAfter >= minRetryAfter)
	is.Equal(q.Len(), 10)
}

// An item that would miss its deadline is refused on arrival; one of another organisation with
// nothing waiting is not. The test fails if estimateItemWait always returns zero.
func TestRefusesEarlyWhatCannotBeServedInTime(t *testing.T) {
	is := is.New(t)
	q := NewFair(MaxWaiting)
	now := start
	for range 40 {
		q.Push(now, item("flood", 100, 10))
	}
	for range 10 { // ten per second
		now = now.Add(100 * time.Millisecond)
		q.Take(now, q.Next(start, anyItem))
	}
	late := item("flood", 100, 10)
	late.Deadline = now.Add(2 * time.Second) // 30 are waiting, which takes 3 s
	out := q.Push(now, late)
	is.Equal(len(out), 1)
	is.Equal(out[0].Item, late)
	is.True(out[0].Err.RetryAfter >= time.Second)
	soon := item("other", 100, 10)
	soon.Deadline = now.Add(2 * time.Second)
	is.Equal(len(q.Push(now, soon)), 0)
	is.Equal(len(q.Expire(now.Add(3*time.Second))), 1) // soon was never taken
}

func TestPriorityGrowsWithWhatWaits(t *testing.T) {
	is := is.New(t)
	q := NewFair(MaxWaiting)
	q.Push(start, item("a", 100, 100))
	for range 100 {
		q.Push(start, item("b", 100, 100))
	}
	is.True(q.Priority("b") > q.Priority("a"))
	is.Equal(q.Priority("unknown"), 0)
}

// Whatever is pushed, taken and removed, the queue's counts stay correct and the memory for idle
// organisations stays bounded.
func TestCountsStayTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFair(20)
		held := map[*Item]bool{}
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				it := item(fmt.Sprint(rapid.IntRange(0, 900).Draw(t, "organisation")), 10, 5)
				held[it] = true
				for _, r := range q.Push(now, it) {
					delete(held, r.Item)
				}
			case 2:
				if it := q.Next(start, anyItem); it != nil {
					q.Take(now, it)
					delete(held, it)
				}
			case 3:
				for it := range held {
					if !q.Remove(it) {
						t.Fatal("a held item was not found")
					}
					delete(held, it)
					break
				}
			}
			if q.Len() != len(held) || q.Len() > 20 || len(q.flows) > 20+2*idleFlowLimit {
				t.Fatalf("%d waiting, %d held, %d organisations", q.Len(), len(held), len(q.flows))
			}
		}
	})
}
