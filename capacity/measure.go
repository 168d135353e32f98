package capacity

import (
	"context"
	"fmt"
	"time"

	"galenastair"
	"galenastair/contract"
	"galenastair/proof"
	"galenastair/timer"
)

// Plan is what to measure on a running fleet.
type Plan struct {
	Organisations int
	ChangesPerDay float64
	// Settle passes before the measurement, for starts and loads to be over.
	Settle  time.Duration
	Measure time.Duration
}

const secondsPerDay = 24 * 60 * 60

// Measure publishes contracts, lets the fleet settle, and measures it without
// callers, while operators change contracts at the planned rate.
func Measure(ctx context.Context, f *proof.Fleet, p Plan) (Row, error) {
	links, err := proof.StartRelays(f)
	if err != nil {
		return Row{}, err
	}
	defer links.Close()
	o := proof.NewOperators(f)
	for n := range p.Organisations {
		if err := o.Publish(ctx, testContract(n, 0)); err != nil {
			return Row{}, err
		}
	}
	if err := proof.AwaitReady(ctx, f); err != nil {
		return Row{}, err
	}
	timer.Wait(ctx, p.Settle)
	before, err := look(f, links)
	if err != nil {
		return Row{}, err
	}
	if err := change(ctx, o, p); err != nil {
		return Row{}, err
	}
	after, err := look(f, links)
	if err != nil {
		return Row{}, err
	}
	r := compare(before, after)
	r.Entries, r.Engines, r.Organisations, r.ChangesPerDay = len(f.Entries), len(f.Engines), p.Organisations, p.ChangesPerDay
	return r, nil
}

func testContract(n int, burst galenastair.Tokens) contract.Contract {
	return contract.Contract{
		Organisation: galenastair.Organisation(fmt.Sprintf("Organisation %d", n)),
		Rate:         1000, Burst: 10000 + burst,
		Models: []galenastair.ModelName{"model-1", "model-2"},
	}
}

// change spends the measured time publishing at the planned rate.
func change(ctx context.Context, o *proof.Operators, p Plan) error {
	end := time.Now().Add(p.Measure)
	if p.ChangesPerDay == 0 {
		timer.Wait(ctx, p.Measure)
		return nil
	}
	gap := time.Duration(secondsPerDay / p.ChangesPerDay * float64(time.Second))
	for n := 1; time.Now().Before(end); n++ {
		if err := o.Publish(ctx, testContract(0, galenastair.Tokens(n))); err != nil {
			return err
		}
		timer.Wait(ctx, min(gap, time.Until(end)))
	}
	return nil
}

// sample is one look at all entries.
type sample struct {
	at        time.Time
	processor map[string]time.Duration
	memory    map[string]galenastair.Bytes
	traffic   proof.Traffic
}

func look(f *proof.Fleet, links *proof.Relays) (sample, error) {
	s := sample{at: time.Now(), processor: map[string]time.Duration{}, memory: map[string]galenastair.Bytes{}, traffic: links.Traffic()}
	for _, e := range f.Entries {
		pid, err := f.Pid(e.Name)
		if err != nil {
			return s, err
		}
		if s.processor[e.Name], err = processorTime(pid); err != nil {
			return s, err
		}
		if s.memory[e.Name], err = memory(pid); err != nil {
			return s, err
		}
	}
	return s, nil
}

// compare takes the means over the entries. A peer's message passes one relay and
// costs two nodes, its sender and its receiver, so it counts twice.
func compare(before, after sample) Row {
	r := Row{Measured: after.at.Sub(before.at)}
	n := float64(len(after.processor))
	seconds := r.Measured.Seconds()
	traffic := after.traffic.Since(before.traffic)
	for name := range after.processor {
		c := Cost{
			Processor:      (after.processor[name] - before.processor[name]).Seconds() / seconds,
			Memory:         after.memory[name],
			BytesPerSecond: float64(2*traffic.Peer[name]+traffic.Platform[name]) / seconds,
		}
		r.Cost.Processor += c.Processor / n
		r.Cost.Memory += c.Memory / galenastair.Bytes(n)
		r.Peer += float64(2*traffic.Peer[name]) / seconds / n
		r.Platform += float64(traffic.Platform[name]) / seconds / n
		r.Worst.Processor = max(r.Worst.Processor, c.Processor)
		r.Worst.Memory = max(r.Worst.Memory, c.Memory)
		r.Worst.BytesPerSecond = max(r.Worst.BytesPerSecond, c.BytesPerSecond)
	}
	for _, bytes := range traffic.Engine {
		r.Engine += float64(bytes) / seconds / n
	}
	r.Cost.BytesPerSecond = r.Peer + r.Platform + r.Engine
	return r
}
