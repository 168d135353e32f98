package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"galenastair"
	"galenastair/route"
)

// benchSize is the part of a fleet that one instance sends requests to.
type benchSize struct {
	name                           string
	servers, models, organisations int
}

var benchSizes = []benchSize{
	{"today", 9, 60, 5},
	{"region", 270, 250, 2000},
}

func newBenchScheduler(s benchSize) *Scheduler {
	sched := NewScheduler(rand.New(rand.NewPCG(1, 2)))
	sched.SetServers(start, serverList(s.servers))
	for i := range s.servers {
		r := galenastair.EngineReport{BackendServer: galenastair.BackendServerID(fmt.Sprint(i))}
		for j := range 6 {
			m := galenastair.ModelName(fmt.Sprint("m", (i*6+j)%s.models))
			r.Loaded = append(r.Loaded, galenastair.LoadedWeights{Weight: galenastair.ModelWeights{Name: m}, State: galenastair.LoadStateReady})
		}
		sched.ApplyReport(start, r)
	}
	return sched
}

func (s benchSize) request(i int, prompt []byte) Request {
	m := galenastair.ModelName(fmt.Sprint("m", i%min(s.models, 6*s.servers)))
	return Request{
		Organisation: galenastair.Organisation(fmt.Sprint("o", i%s.organisations)),
		Weight:       100,
		Model:        m,
		PromptTokens: 400,
		OutputTokens: 120,
		PrefixHashes: route.PrefixHashes(m, prompt),
	}
}

// BenchmarkAdmitAndRoute measures one request from its arrival to its end, without hashing
// the prompt.
func BenchmarkAdmitAndRoute(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(s.name, func(b *testing.B) {
			sched := newBenchScheduler(s)
			var rs []Request
			for i := range 4000 {
				rs = append(rs, s.request(i, make([]byte, 1600)))
			}
			now := start
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now = now.Add(20 * time.Microsecond)
				t := sched.Submit(now, rs[i%len(rs)])
				for _, d := range sched.Poll() {
					if d.Err != nil {
						b.Fatal(d.Err)
					}
				}
				sched.FirstToken(now, t)
				sched.Done(now, t, Result{OutputTokens: 100})
				i++
			}
		})
	}
}

// BenchmarkSaturated measures, with all queues full, a request that must wait and the end of
// another one whose slot is reused.
func BenchmarkSaturated(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(s.name, func(b *testing.B) {
			sched := newBenchScheduler(s)
			now := start
			var running []*Ticket
			collect := func() {
				for _, d := range sched.Poll() {
					if d.Err == nil {
						running = append(running, d.Ticket)
					}
				}
			}
			var rs []Request
			for i := range 4000 {
				rs = append(rs, s.request(i, nil))
			}
			for i := range 10_000 {
				sched.Submit(now, rs[i%len(rs)])
				collect()
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now = now.Add(200 * time.Microsecond)
				sched.Submit(now, rs[i%len(rs)])
				sched.Done(now, running[i], Result{OutputTokens: 100})
				collect()
				i++
			}
		})
	}
}

// BenchmarkPrefix measures the hashing of a prompt of 8 KB.
func BenchmarkPrefix(b *testing.B) {
	prompt := make([]byte, 8192)
	b.ReportAllocs()
	for b.Loop() {
		route.PrefixHashes("m", prompt)
	}
}
