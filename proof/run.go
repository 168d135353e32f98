package proof

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"galenastair"
	"galenastair/timer"
)

// RunConfig configures one run.
type RunConfig struct {
	Seed     uint64
	Duration time.Duration
	// FaultInterval is the mean time between faults.
	FaultInterval time.Duration
	// Outage, if not zero, replaces the random faults by one outage of the log of
	// this length.
	Outage time.Duration
	// KillEntry kills an entry during that outage.
	KillEntry bool
}

// startTimeout limits the start of a fleet, which ends when every entry is ready
// and every model answers.
const startTimeout = 60 * time.Second

var errStartFailed = eris.New("fleet start failed")

// Run runs the callers, operators and faults of one run against a fleet. It returns
// the recorded history and the rate limit of each organisation.
func Run(ctx context.Context, f *Fleet, cfg RunConfig, progress func(string)) (*History, map[galenastair.Organisation]Limit, error) {
	relays, err := StartRelays(f)
	if err != nil {
		return nil, nil, err
	}
	defer relays.Close()
	rec := &recorder{}
	obs := newObserver(f, rec)
	b := newBalancer(f)
	g := &loadGenerator{fleet: f, recorder: rec, client: newHTTPClient(), balancer: b, seed: cfg.Seed}
	customers := newCustomers()
	op := newOperator(f, rec)
	if err := prepare(ctx, b, g, op, customers, progress); err != nil {
		return nil, nil, err
	}
	in := &injector{fleet: f, relays: relays, recorder: rec, observer: obs, operator: op, generator: g, customers: customers}
	err = runWorkload(ctx, cfg, in, b, g, obs, customers, progress)
	return &rec.history, contractLimits(customers), errors.Join(err, readJournals(f, &rec.history))
}

// prepare publishes the contracts and keys, and waits until every entry is ready
// and every model of each contract answers.
func prepare(ctx context.Context, b *balancer, g *loadGenerator, op *Operator, customers []*customer, progress func(string)) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, c := range customers {
		if !op.publishContract(ctx, c).Accepted {
			return eris.Wrapf(errStartFailed, "contract of %s was not accepted", c.name)
		}
		op.issueKey(ctx, c)
	}
	progress("contracts published")
	if err := b.waitAllReady(ctx); err != nil {
		return err
	}
	progress("entries ready")
	return waitModelsReady(ctx, g, customers)
}

// WaitReady waits until every entry of a fleet is ready.
func WaitReady(ctx context.Context, f *Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return newBalancer(f).waitAllReady(ctx)
}

func waitModelsReady(ctx context.Context, g *loadGenerator, customers []*customer) error {
	for _, c := range customers {
		for _, m := range c.models {
			for !g.modelAnswers(c, m) {
				if ctx.Err() != nil {
					return eris.Wrapf(errStartFailed, "model %s does not answer requests of %s", m, c.name)
				}
				timer.Wait(ctx, healthCheckPeriod)
			}
		}
	}
	return nil
}

// runWorkload runs callers, observers and faults concurrently. Callers continue for
// a while after the last fault, and observers until the last caller has finished.
func runWorkload(ctx context.Context, cfg RunConfig, in *injector, b *balancer, g *loadGenerator, obs *observer, customers []*customer, progress func(string)) error {
	callCtx, cancelCalls := context.WithTimeout(ctx, cfg.Duration)
	defer cancelCalls()
	observeCtx, cancelObservers := context.WithCancel(ctx)
	defer cancelObservers()
	var observers, callers errgroup.Group
	observers.Go(func() error { return b.run(observeCtx) })
	observers.Go(func() error { return obs.run(observeCtx) })
	for n, c := range customers {
		callers.Go(func() error { return g.run(callCtx, c, n) })
	}
	schedule := cfg.schedule()
	progress(fmt.Sprintf("seed %d: %d faults in %s", cfg.Seed, len(schedule), cfg.Duration))
	err := in.run(callCtx, schedule)
	progress("fault injection finished")
	err = errors.Join(err, callers.Wait())
	cancelObservers()
	return errors.Join(err, observers.Wait())
}
