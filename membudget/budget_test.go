package membudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"galenastair"
)

const (
	kb = galenastair.Bytes(1000)
	mb = 1000 * kb
)

func begin(t *testing.T, b *Budget, now time.Time, end func()) *Exchange {
	t.Helper()
	x, ok := b.Begin(now, end)
	if !ok {
		t.Fatal("the budget is full")
	}
	return x
}

func noEnd() {}

// Guards against bytes that are counted twice or never returned, and against reservations beyond the
// limit.
func TestReservationsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := galenastair.Bytes(rapid.Int64Range(1, 100).Draw(t, "limit")) * mb
		b, now := New(limit), time.Unix(1000, 0)
		var open []*Exchange
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Second)
			n := galenastair.Bytes(rapid.Int64Range(0, int64(2*mb)).Draw(t, "bytes"))
			step := rapid.IntRange(0, 4).Draw(t, "step")
			if step == 0 || len(open) == 0 {
				if x, ok := b.Begin(now, noEnd); ok {
					open = append(open, x)
				}
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "exchange")
			switch x := open[i]; step {
			case 1:
				x.ReserveBody(now, n)
			case 2:
				x.ReserveAnswer(n)
			case 3:
				x.Set(Bodies, 0)
				x.Block(now)
			default:
				x.Close()
				open = append(open[:i], open[i+1:]...)
			}
			if s := b.State(); s.Held > limit || s.BySide["Bodies"] > limit/maxBodies+galenastair.Bytes(s.Exchanges)*smallBytes {
				t.Fatalf("%+v", s)
			}
		}
		for _, x := range open {
			x.Close()
		}
		if s := b.State(); s.Held != 0 || s.Exchanges != 0 || s.BySide["Bodies"] != 0 {
			t.Fatalf("after all requests ended: %+v", s)
		}
	})
}

// Plays 800 callers that read answers of 1 MB slowly, 400 that send 1 MB to servers that read late and
// 1,000 slow streams, all held for the whole time, at 0.6 of the memory of an instance of 144 MB. Guards
// against ordinary requests that are refused for the sake of slow ones.
func TestOrdinaryRequestsFitBesideSlowOnes(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	const limit = 86 * mb
	b, now := New(limit), time.Unix(1000, 0)
	kinds := make([]int, 0, 2200)
	for kind, n := range []int{800, 400, 1000} {
		for range n {
			kinds = append(kinds, kind)
		}
	}
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	bodies, streams := 0, 0
	for _, kind := range kinds {
		now = now.Add(time.Millisecond)
		x := begin(t, b, now, noEnd)
		switch kind {
		case 0:
			x.ReserveAnswer(maxAnswer)
			x.Set(Answers, 0)
		case 1:
			if x.ReserveBody(now, mb) {
				bodies++
			} else if !x.AdmitPassedOn() {
				x.Close()
			}
		case 2:
			if !x.AdmitStream() {
				x.Close()
			} else {
				streams++
			}
		}
		ordinary := begin(t, b, now, noEnd)
		is.True(ordinary.ReserveBody(now, kb))
		is.True(ordinary.ReserveAnswer(4*kb) == 4*kb)
		ordinary.Close()
	}
	is.True(bodies >= 5)
	is.True(streams >= 400)
	is.True(b.State().Peak <= limit)
}

const maxAnswer = 256 * kb

// A caller takes nothing, another one a little, while memory is needed. Guards against ending one that
// makes progress, one whose backend server is slow, one while memory is free, or one after its end.
func TestOnlyStalledExchangesAreEnded(t *testing.T) {
	is := is.New(t)
	b, start := New(4*mb), time.Unix(1000, 0)
	var ended []string
	named := func(name string, body galenastair.Bytes) *Exchange {
		x := begin(t, b, start, func() { ended = append(ended, name) })
		x.Set(Bodies, body)
		return x
	}
	small, large, moving, waiting := named("small", 10*kb), named("large", 500*kb), named("moving", mb), named("waiting", mb)
	for _, x := range []*Exchange{small, large, moving} {
		x.Block(start)
	}
	waiting.Unblock()
	late := start.Add(stallTimeout + time.Second)
	moving.Block(late.Add(-time.Second))
	begin(t, b, late, noEnd)
	is.Equal(len(ended), 0)
	filler := begin(t, b, late, noEnd)
	filler.Set(Bodies, 1200*kb)
	late = late.Add(time.Second)
	filler.ReserveBody(late, mb)
	is.Equal(ended, []string{"large"})
	is.True(large.Ended())
	small.Close()
	filler.ReserveBody(late.Add(time.Second), mb)
	is.Equal(ended, []string{"large"})
}

// Guards against buffers that stay large while little memory is left.
func TestBuffersGetSmaller(t *testing.T) {
	is := is.New(t)
	b := New(10 * mb)
	x := begin(t, b, time.Unix(1000, 0), noEnd)
	is.Equal(x.ChunkBytes(1), Chunk)
	wide := x.EventLimit(128 << 10)
	x.Set(Bodies, 9*mb)
	is.Equal(x.ChunkBytes(1), SmallChunk)
	is.True(x.EventLimit(128<<10) < wide)
	is.True(x.ReserveAnswer(maxAnswer) < 20*kb)
}

// Guards against a bound where none is set.
func TestNoBudget(t *testing.T) {
	is := is.New(t)
	b := New(0)
	x, ok := b.Begin(time.Now(), noEnd)
	is.True(ok)
	is.True(x.ReserveBody(time.Now(), 1000*mb))
	is.Equal(x.ReserveAnswer(1000*mb), 1000*mb)
	is.Equal(x.ChunkBytes(7), 7)
	x.Block(time.Now())
	x.Set(Answers, mb)
	x.Close()
	is.Equal(b.State().Held, galenastair.Bytes(0))
}
