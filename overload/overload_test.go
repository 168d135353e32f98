package overload

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	requestCost = 5 * time.Millisecond
	closeCost   = 100 * time.Microsecond
	capacity    = float64(time.Second / requestCost)
)

// processor is a processor that does its work in order.
type processor struct {
	now, freeAt time.Duration
	admission   admission
}

// results counts what callers got.
type results struct{ read, inTime int }

// play has connections come at a rate, each with one request, and counts the requests that are read and
// those that are answered within the target.
func (p *processor) play(rng *rand.Rand, perSecond float64, duration, target time.Duration) results {
	var out results
	for end := p.now + duration; p.now < end; p.now += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)) {
		p.freeAt = max(p.freeAt, p.now)
		if !p.admission.admit(p.freeAt - p.now) {
			p.freeAt += closeCost
			continue
		}
		p.freeAt += requestCost
		out.read++
		if p.freeAt-p.now <= target {
			out.inTime++
		}
	}
	return out
}

// Guards against an instance that answers nobody in time while most new connections are handed to it:
// three quarters of the requests that it reads must be answered as without overload.
func TestRequestsThatAreReadAreAnsweredInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		overload := rapid.Float64Range(1, 8).Draw(t, "overload")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var p processor
		r := p.play(rng, capacity*overload, 10*time.Second, 500*time.Millisecond)
		if float64(r.inTime) < 0.75*float64(r.read) {
			t.Fatalf("%d of %d requests were answered in time, at %.1f times the capacity", r.inTime, r.read, overload)
		}
		if float64(r.read) < 0.75*capacity*10 {
			t.Fatalf("%d requests were read in 10 s, at %.1f times the capacity of %.0f", r.read, overload, capacity*10)
		}
	})
}

// Guards against connections that are closed while there is processor time.
func TestAllRequestsAreReadWithoutOverload(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var p processor
	p.play(rng, 8*capacity, 10*time.Second, time.Second)
	p.now += time.Second
	before := p.admission.late.Load()
	r := p.play(rng, capacity/2, 20*time.Second, time.Second)
	is.Equal(r.read, r.inTime)
	is.Equal(p.admission.late.Load(), before)
}

// Guards against an instance that serves no connection at all, and so counts as lost.
func TestSomeLateConnectionsAreServed(t *testing.T) {
	is := is.New(t)
	var a admission
	served := 0
	for range 10 * keepOneIn {
		if a.admit(time.Minute) {
			served++
		}
	}
	is.Equal(served, 10)
}

// Guards against a late connection that hangs, is read, or gets a response.
func TestLateConnectionIsClosedUnread(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	var g Guard
	l := g.Listen(inner)
	for i := range 2 {
		client, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		defer client.Close()
		_, err = client.Write([]byte("request"))
		is.NoErr(err)
		c, err := l.Accept()
		is.NoErr(err)
		defer c.Close()
		buf := make([]byte, 16)
		if i == 1 {
			c.(*conn).acceptedAt = time.Now().Add(-time.Second)
			_, err = c.Read(buf)
			is.True(errors.Is(err, io.EOF))
			is.Equal(g.Closed(), int64(1))
			continue
		}
		n, err := c.Read(buf)
		is.NoErr(err)
		is.Equal(string(buf[:n]), "request")
	}
}
