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

// Plan is one run to make.
type Plan struct {
	Seed   uint64
	Length time.Duration
	// Pace is the mean time between faults.
	Pace time.Duration
	// Outage replaces the drawn faults by one outage of the log of that length.
	Outage time.Duration
	// Kill kills an entry in the outage as well.
	Kill bool
}

// startWithin bounds the start of a fleet: every entry ready, every model answering.
const startWithin = 60 * time.Second

var errStart = eris.New("the fleet has not come up")

// Run drives a fleet through a plan and returns what was recorded.
func Run(ctx context.Context, f *Fleet, p Plan, say func(string)) (*History, map[galenastair.Organisation]Limit, error) {
	links, err := StartRelays(f)
	if err != nil {
		return nil, nil, err
	}
	defer links.Close()
	record := &recorder{}
	sights := newObserver(f, record)
	b := newBalancer(f)
	t := &traffic{fleet: f, record: record, client: newClient(), balancer: b, seed: p.Seed}
	customers := newCustomers()
	ops := newOperators(f, record)
	if err := start(ctx, b, t, ops, customers, say); err != nil {
		return nil, nil, err
	}
	in := &injector{fleet: f, relays: links, record: record, sights: sights, operators: ops, traffic: t, customers: customers}
	err = drive(ctx, p, in, b, t, sights, customers, say)
	return &record.h, limits(customers), errors.Join(err, readFiles(f, &record.h))
}

// start publishes the contracts and waits until all that they promise is there.
func start(ctx context.Context, b *balancer, t *traffic, ops *Operators, customers []*customer, say func(string)) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	for _, c := range customers {
		if !ops.contract(ctx, c).Accepted {
			return eris.Wrapf(errStart, "the contract of %s was not accepted", c.name)
		}
		ops.giveKey(ctx, c)
	}
	say("contracts published")
	if err := b.awaitAll(ctx); err != nil {
		return err
	}
	say("entries ready")
	return awaitModels(ctx, t, customers)
}

// AwaitReady waits until every entry of a fleet takes requests.
func AwaitReady(ctx context.Context, f *Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	return newBalancer(f).awaitAll(ctx)
}

func awaitModels(ctx context.Context, t *traffic, customers []*customer) error {
	for _, c := range customers {
		for _, m := range c.models {
			for !t.probe(c, m) {
				if ctx.Err() != nil {
					return eris.Wrapf(errStart, "%s does not answer %s", m, c.name)
				}
				timer.Wait(ctx, balancerPeriod)
			}
		}
	}
	return nil
}

// drive plays callers, observers and faults at once. Callers go on for a while
// after the last fault, and observers after the callers.
func drive(ctx context.Context, p Plan, in *injector, b *balancer, t *traffic, sights *observer, customers []*customer, say func(string)) error {
	calling, stopCalls := context.WithTimeout(ctx, p.Length)
	defer stopCalls()
	looking, stopLooks := context.WithCancel(ctx)
	defer stopLooks()
	var looks, calls errgroup.Group
	looks.Go(func() error { return b.follow(looking) })
	looks.Go(func() error { return sights.follow(looking) })
	for n, c := range customers {
		calls.Go(func() error { return t.play(calling, c, n) })
	}
	plan := p.faults()
	say(fmt.Sprintf("seed %d: %d faults in %s", p.Seed, len(plan), p.Length))
	err := in.run(calling, plan)
	say("faults over")
	err = errors.Join(err, calls.Wait())
	stopLooks()
	return errors.Join(err, looks.Wait())
}
