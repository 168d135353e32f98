package rate

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenastair"
	"galenastair/peer/ratepb"
)

// countingListener counts the bytes read and written on all connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkExchangeBytes reports the bytes that HTTP adds to one message and its
// response.
func BenchmarkExchangeBytes(b *testing.B) {
	for _, version := range []string{"HTTP1", "HTTP2"} {
		b.Run(version, func(b *testing.B) {
			f := newFleet(3, Contract{Rate: 1000, Burst: 1 << 30})
			var bytes atomic.Int64
			s := httptest.NewUnstartedServer(f.limiters[0].Handler())
			s.Listener = countingListener{s.Listener, &bytes}
			var protocols http.Protocols
			protocols.SetHTTP1(version == "HTTP1")
			protocols.SetUnencryptedHTTP2(version == "HTTP2")
			s.Config.Protocols = &protocols
			s.Start()
			defer s.Close()
			client := &http.Client{Transport: &http.Transport{Protocols: &protocols}}
			peer := ratepb.NewRateProtobufClient(s.URL, client)
			req := LoanRequest{ShareID: ShareID{testOrganisation, 0}, ID: LoanID{"entry-17-8f14e45f", 1000}, Need: 1000, Want: 1000}
			request := toExchangeRequest(req.ID.Borrower, exchangeContent{loanRequests: []LoanRequest{req}})
			size := 0
			for b.Loop() {
				reply, err := peer.Exchange(context.Background(), request)
				if err != nil {
					b.Fatal(err)
				}
				size = proto.Size(request) + proto.Size(reply)
			}
			b.ReportMetric(float64(size), "content-bytes")
			b.ReportMetric(float64(bytes.Load())/float64(b.N)-float64(size), "header-bytes")
		})
	}
}

// BenchmarkHeldShareMemory reports the holder's memory per share and per remembered
// loan.
func BenchmarkHeldShareMemory(b *testing.B) {
	const shares, loans = 1000, 100
	now := time.Unix(1000, 0)
	for b.Loop() {
		before := heapAlloc()
		h := NewHolder()
		for i := range shares {
			h.Open(now, ShareID{galenastair.Organisation(fmt.Sprint(i)), 0}, Limits{Rate: 1 << 20, Burst: 1 << 28})
		}
		empty := heapAlloc()
		later := now.Add(time.Hour)
		for i := range shares * loans {
			shareID := ShareID{galenastair.Organisation(fmt.Sprint(i % shares)), 0}
			id := LoanID{"entry-17-8f14e45f", LoanNumber(i)}
			h.Lend(later, LoanRequest{shareID, id, 10, 10})
			h.Settle(later, Report{shareID, id, 5})
		}
		b.ReportMetric(float64(empty-before)/shares, "bytes/share")
		b.ReportMetric(float64(heapAlloc()-empty)/(shares*loans), "bytes/loan")
		runtime.KeepAlive(h)
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCharge measures a charge and its settlement at an entry that holds a share
// itself.
func BenchmarkCharge(b *testing.B) {
	f := newFleet(3, Contract{Rate: 1 << 30, Burst: 1 << 30})
	f.advance(4 * time.Second)
	for b.Loop() {
		r, err := f.limiters[0].Charge(context.Background(), testOrganisation, 1, "r")
		if err != nil {
			b.Fatal(err)
		}
		r.Settle(1)
		f.clock.advance(time.Millisecond)
		f.history = f.history[:0]
	}
}
