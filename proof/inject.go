package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"galenastair"
	"galenastair/caller"
	"galenastair/config"
	"galenastair/contract"
	"galenastair/timer"
)

// stopWithin is how long a process that was told to stop may take; the script
// gives entries a timeout below it.
const stopWithin = 40 * time.Second

// PoisonWord ends every engine that runs a prompt with it.
const PoisonWord = "swordfish"

// injector does to a fleet what a schedule says.
type injector struct {
	fleet     *Fleet
	relays    *Relays
	record    *recorder
	sights    *observer
	operators *Operators
	traffic   *traffic
	customers []*customer
}

// run carries out a schedule; each fault on its own, so that one that lasts
// overlaps with those after it.
func (in *injector) run(ctx context.Context, plan []planned) error {
	var g errgroup.Group
	start := time.Now()
	for _, p := range plan {
		timer.Wait(ctx, time.Until(start.Add(p.at)))
		if ctx.Err() != nil {
			break
		}
		g.Go(func() error {
			in.inject(ctx, p)
			return nil
		})
	}
	return g.Wait()
}

func (in *injector) inject(ctx context.Context, p planned) {
	f := Fault{Kind: p.kind, Start: time.Now()}
	target, err := in.act(ctx, p)
	f.Target, f.End = target, time.Now()
	if err != nil {
		f.Err = err.Error()
	}
	in.record.fault(f)
}

func (in *injector) act(ctx context.Context, p planned) (string, error) {
	entry := in.fleet.Entries[p.target%len(in.fleet.Entries)]
	engine := in.fleet.Engines[p.target%len(in.fleet.Engines)]
	service := in.fleet.Services[p.target%len(in.fleet.Services)]
	who := in.customers[p.target%len(in.customers)]
	switch p.kind {
	case KillEntry:
		return entry.Name, in.kill(entry.Name)
	case KillLeader:
		return in.sights.leader(), in.kill(in.sights.leader())
	case KillEngine:
		return engine.Name, in.kill(engine.Name)
	case KillService:
		return service.Name, in.kill(service.Name)
	case PauseEntry:
		return entry.Name, in.pause(entry.Name, p.duration)
	case PauseLeader:
		return in.sights.leader(), in.pause(in.sights.leader(), p.duration)
	case StopEntry:
		return entry.Name, in.stop(entry.Name)
	case StopEngine:
		return engine.Name, in.stop(engine.Name)
	case CutFromLog:
		return entry.Name, down(in.relays.log[entry.Name], p.duration)
	case CutPeer:
		return entry.Name, down(in.relays.peer[entry.Name], p.duration)
	case SilencePeer:
		in.relays.peer[entry.Name].Silence()
		return entry.Name, nil
	case SilenceEngine:
		in.relays.engine[engine.Name].Silence()
		return engine.Name, nil
	case CutEngine:
		in.relays.engine[engine.Name].Cut()
		return engine.Name, nil
	case RacingOperators:
		return string(who.name), in.race(ctx, who)
	case WithdrawKey:
		in.withdraw(ctx, who)
		return string(who.name), nil
	case PoisonRequest:
		in.poison(ctx, who, p)
		return string(who.name), nil
	default:
		return in.switchBoard(p, engine, service)
	}
}

func (in *injector) switchBoard(p planned, engine, service BackendServer) (string, error) {
	platform := in.fleet.Platform
	switch p.kind {
	case LogOutage:
		return "platform", switchFor(platform, p.duration, fields{"Outage": "Refuse"}, fields{"Outage": ""})
	case LogHang:
		return "platform", switchFor(platform, p.duration, fields{"Outage": "Hang"}, fields{"Outage": ""})
	case SlowAppends:
		return "platform", switchFor(platform, p.duration, fields{"AppendDelay": time.Second}, fields{"AppendDelay": 0})
	case LostAnswers:
		return "platform", switchFor(platform, p.duration, fields{"LostAnswers": 0.7}, fields{"LostAnswers": 0})
	case ListFrozen:
		return "platform", switchFor(platform, p.duration, fields{"ListFrozen": true}, fields{"ListFrozen": false})
	case LoseOrders:
		return engine.Name, switchFor(engine.Listen, p.duration, fields{"LoseOrderAnswers": true}, fields{"LoseOrderAnswers": false})
	case LateOrders:
		return engine.Name, switchFor(engine.Listen, p.duration, fields{"OrderDelay": 2 * time.Second}, fields{"OrderDelay": 0})
	case ServiceLosesReply:
		return service.Name, switchFor(service.Listen, p.duration, fields{"LoseAnswers": true}, fields{"LoseAnswers": false})
	default:
		return "", fmt.Errorf("no such fault: %s", p.kind)
	}
}

func (in *injector) kill(name string) error {
	_, err := in.fleet.signal(name, syscall.SIGKILL)
	return err
}

func (in *injector) pause(name string, d time.Duration) error {
	pid, err := in.fleet.signal(name, syscall.SIGSTOP)
	if err != nil {
		return err
	}
	time.Sleep(d)
	return syscall.Kill(pid, syscall.SIGCONT)
}

// stop tells a process to end and waits until it has.
func (in *injector) stop(name string) error {
	pid, err := in.fleet.signal(name, syscall.SIGTERM)
	if err != nil {
		return err
	}
	if !waitExit(pid, stopWithin) {
		return fmt.Errorf("%s has not stopped within %s", name, stopWithin)
	}
	return nil
}

// race lets two operators change one contract from the same revision at once.
func (in *injector) race(ctx context.Context, c *customer) error {
	var g errgroup.Group
	for n := range 2 {
		g.Go(func() error {
			in.operators.change(ctx, config.KindContractPublished, Change{Organisation: c.name}, func(v *config.View) any {
				next := contract.Contract{Organisation: c.name, Rate: c.rate, Burst: c.burst + galenastair.Tokens(n), Models: c.models, Services: c.services}
				if old, ok := v.Contract(c.name); ok {
					next.KeyHashes = old.KeyHashes
				}
				return config.ContractPublished{Base: v.LastChange(c.name).Offset, Contract: next}
			})
			return nil
		})
	}
	return g.Wait()
}

// keyLife is how long callers use a key that will be withdrawn.
const keyLife = 2 * time.Second

func (in *injector) withdraw(ctx context.Context, c *customer) {
	key := in.operators.giveKey(ctx, c)
	timer.Wait(ctx, keyLife)
	in.operators.withdrawKey(ctx, c, key)
	timer.Wait(ctx, 2*keyLife)
	c.dropKey(key)
}

// poison sends a request that ends each engine that runs it, again and again
// through different entries, as an unknowing caller does.
func (in *injector) poison(ctx context.Context, c *customer, p planned) {
	const sends = 6
	rng := rand.New(rand.NewPCG(uint64(p.target), uint64(p.at)))
	model := c.models[p.target%len(c.models)]
	text := fmt.Sprintf("%s %d", PoisonWord, p.at)
	for n := range sends {
		q := caller.Question{
			Entry: in.traffic.balancer.choose(rng), Key: c.key(rng), Model: model, Prompt: true, Text: text, MaxTokens: 4,
			RequestID: galenastair.RequestID(fmt.Sprintf("poison-%d-%d", p.at, n)),
		}
		in.record.request(in.traffic.send(c, q, Request{Model: model}).Request)
		timer.Wait(ctx, 500*time.Millisecond)
	}
}
