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

// stopTimeout is how long a process may take to exit after SIGTERM. It exceeds the
// stop timeout that scenario/fleet.sh sets for entries.
const stopTimeout = 40 * time.Second

// PoisonWord makes an engine exit that runs a prompt with it; scenario/fleet.sh passes
// the same word to the engines.
const PoisonWord = "swordfish"

// injector injects the faults of a schedule into a fleet.
type injector struct {
	fleet     *Fleet
	relays    *Relays
	recorder  *recorder
	observer  *observer
	operator  *Operator
	generator *loadGenerator
	customers []*customer
}

// run carries out a schedule. Each fault has a goroutine of its own, so that a fault
// with a duration overlaps those after it.
func (in *injector) run(ctx context.Context, schedule []plannedFault) error {
	var g errgroup.Group
	start := time.Now()
	for _, p := range schedule {
		timer.Wait(ctx, time.Until(start.Add(p.start)))
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

func (in *injector) inject(ctx context.Context, p plannedFault) {
	f := Fault{Kind: p.kind, Start: time.Now()}
	target, err := in.apply(ctx, p)
	f.Target, f.End = target, time.Now()
	if err != nil {
		f.Err = err.Error()
	}
	in.recorder.addFault(f)
}

func (in *injector) apply(ctx context.Context, p plannedFault) (string, error) {
	entry := in.fleet.Entries[p.target%len(in.fleet.Entries)]
	engine := in.fleet.Engines[p.target%len(in.fleet.Engines)]
	service := in.fleet.Services[p.target%len(in.fleet.Services)]
	c := in.customers[p.target%len(in.customers)]
	switch p.kind {
	case KillEntry:
		return entry.Name, in.kill(entry.Name)
	case KillLeader:
		return in.observer.leaderName(), in.kill(in.observer.leaderName())
	case KillEngine:
		return engine.Name, in.kill(engine.Name)
	case KillService:
		return service.Name, in.kill(service.Name)
	case PauseEntry:
		return entry.Name, in.pause(entry.Name, p.duration)
	case PauseLeader:
		return in.observer.leaderName(), in.pause(in.observer.leaderName(), p.duration)
	case StopEntry:
		return entry.Name, in.terminate(entry.Name)
	case StopEngine:
		return engine.Name, in.terminate(engine.Name)
	case CutFromLog:
		return entry.Name, interrupt(in.relays.log[entry.Name], p.duration)
	case CutPeer:
		return entry.Name, interrupt(in.relays.peer[entry.Name], p.duration)
	case SilencePeer:
		in.relays.peer[entry.Name].Blackhole()
		return entry.Name, nil
	case SilenceEngine:
		in.relays.engine[engine.Name].Blackhole()
		return engine.Name, nil
	case CutEngine:
		in.relays.engine[engine.Name].CloseConns()
		return engine.Name, nil
	case RacingOperators:
		return string(c.name), in.publishConcurrently(ctx, c)
	case WithdrawKey:
		in.issueAndWithdrawKey(ctx, c)
		return string(c.name), nil
	case PoisonRequest:
		in.sendPoison(ctx, c, p)
		return string(c.name), nil
	default:
		return in.applySwitch(p, engine, service)
	}
}

func (in *injector) applySwitch(p plannedFault, engine, service BackendServer) (string, error) {
	platform := in.fleet.PlatformAddress
	switch p.kind {
	case LogOutage:
		return "platform", setSwitchesFor(platform, p.duration, switchValues{"Outage": "Refuse"}, switchValues{"Outage": ""})
	case LogHang:
		return "platform", setSwitchesFor(platform, p.duration, switchValues{"Outage": "Hang"}, switchValues{"Outage": ""})
	case SlowAppends:
		return "platform", setSwitchesFor(platform, p.duration, switchValues{"AppendDelay": time.Second}, switchValues{"AppendDelay": 0})
	case LostAnswers:
		return "platform", setSwitchesFor(platform, p.duration, switchValues{"LostAnswers": 0.7}, switchValues{"LostAnswers": 0})
	case ListFrozen:
		return "platform", setSwitchesFor(platform, p.duration, switchValues{"ListFrozen": true}, switchValues{"ListFrozen": false})
	case LoseOrders:
		return engine.Name, setSwitchesFor(engine.ListenAddress, p.duration, switchValues{"LoseOrderAnswers": true}, switchValues{"LoseOrderAnswers": false})
	case LateOrders:
		return engine.Name, setSwitchesFor(engine.ListenAddress, p.duration, switchValues{"OrderDelay": 2 * time.Second}, switchValues{"OrderDelay": 0})
	case ServiceLosesReply:
		return service.Name, setSwitchesFor(service.ListenAddress, p.duration, switchValues{"LoseAnswers": true}, switchValues{"LoseAnswers": false})
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

// terminate sends SIGTERM to a process and waits until it has exited.
func (in *injector) terminate(name string) error {
	pid, err := in.fleet.signal(name, syscall.SIGTERM)
	if err != nil {
		return err
	}
	if !waitExit(pid, stopTimeout) {
		return fmt.Errorf("%s has not stopped within %s", name, stopTimeout)
	}
	return nil
}

// publishConcurrently lets two operators change one contract from the same revision
// at the same time. At most one change may be accepted.
func (in *injector) publishConcurrently(ctx context.Context, c *customer) error {
	var g errgroup.Group
	for n := range 2 {
		g.Go(func() error {
			in.operator.publishChange(ctx, config.KindContractPublished, Change{Organisation: c.name}, func(v *config.View) any {
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

// keyUsePeriod is how long callers use a key before it is withdrawn. They keep using
// it for twice as long afterwards, so that the check sees whether it is still accepted.
const keyUsePeriod = 2 * time.Second

func (in *injector) issueAndWithdrawKey(ctx context.Context, c *customer) {
	key := in.operator.issueKey(ctx, c)
	timer.Wait(ctx, keyUsePeriod)
	in.operator.withdrawKey(ctx, c, key)
	timer.Wait(ctx, 2*keyUsePeriod)
	c.dropKey(key)
}

// sendPoison sends a request that makes every engine exit that runs it. It sends it
// several times through randomly picked entries, as a caller does that retries without
// knowing the cause.
func (in *injector) sendPoison(ctx context.Context, c *customer, p plannedFault) {
	const attempts = 6
	rng := rand.New(rand.NewPCG(uint64(p.target), uint64(p.start)))
	model := c.models[p.target%len(c.models)]
	text := fmt.Sprintf("%s %d", PoisonWord, p.start)
	for n := range attempts {
		q := caller.Request{
			Address: in.generator.balancer.pickEntry(rng), Key: c.key(rng), Model: model, TextCompletion: true, Text: text, MaxTokens: 4,
			RequestID: galenastair.RequestID(fmt.Sprintf("poison-%d-%d", p.start, n)),
		}
		in.recorder.addRequest(in.generator.send(c, q, Request{Model: model}).Request)
		timer.Wait(ctx, 500*time.Millisecond)
	}
}
