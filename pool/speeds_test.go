package pool

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/speed"
)

// speedSim simulates 71 instances in front of engines of different speeds, which hold some models each. An engine processes prompts
// one after the other; running requests share its steps. Instances learn of each other's loads, and
// of speeds, in an exchange every exchangePeriod.
type speedSim struct {
	rng       *rand.Rand
	instances []*speedInstance
	engines   []*speedEngine
	models    []galenastair.ModelName
	// aggregator is nil if the instances do not share speeds, or have no leader.
	aggregator *speed.Aggregator
	loads      map[ServerKey]Load
	events     speedEvents
	perSecond  float64
	now        time.Time
	// measureFrom is when the statistics begin.
	measureFrom time.Time
	waits       []time.Duration
}

type speedInstance struct {
	pool     *Pool
	reported map[ServerKey]Load
	seen     speed.Sequence
}

type speedEngine struct {
	server    Server
	ratio     float64
	busyUntil time.Time
	inFlight  int
	// busy is the time for which it has processed prompts, sent the number of requests.
	busy time.Duration
	sent int
	// slow holds, for each second, whether the engine is slowMomentRatio times as slow.
	slow []bool
}

const (
	slowMomentRatio = 2.5
	simTarget       = 800 * time.Millisecond
)

type speedEvent struct {
	at time.Time
	do func()
}

type speedEvents []speedEvent

func (e speedEvents) Len() int           { return len(e) }
func (e speedEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e speedEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *speedEvents) Push(x any)        { *e = append(*e, x.(speedEvent)) }
func (e *speedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type speedSimConfig struct {
	seed        uint64
	share       bool
	ratios      func(engine int) float64
	slowMoments float64
	// perEngine is the number of requests per engine and second.
	perEngine float64
	engines   int
}

// unevenRatio makes a fifth of the engines fast and a fifth slow.
func unevenRatio(i int) float64 {
	switch i % 5 {
	case 0:
		return 0.7
	case 1:
		return 1.7
	}
	return 1
}

func equalRatio(int) float64 { return 1 }

var simZones = []galenastair.AvailabilityZone{"z1", "z2", "z3"}

func newSpeedSim(c speedSimConfig) *speedSim {
	const instances = 71
	s := &speedSim{rng: rand.New(rand.NewPCG(c.seed, 7)), loads: map[ServerKey]Load{}, now: start, perSecond: c.perEngine * float64(c.engines)}
	if c.share {
		s.aggregator = speed.NewAggregator(start)
	}
	for i := range c.engines * 3 / 7 {
		s.models = append(s.models, galenastair.ModelName("m"+strconv.Itoa(i)))
	}
	for i := range c.engines {
		e := &speedEngine{ratio: c.ratios(i)}
		for range 600 {
			e.slow = append(e.slow, s.rng.Float64() < c.slowMoments)
		}
		e.server = Server{ID: galenastair.BackendServerID("s" + strconv.Itoa(i)), Service: "writer", AvailabilityZone: simZones[s.rng.IntN(3)], Slots: 48, Incarnation: 1, Heartbeat: 1}
		for _, m := range s.rng.Perm(len(s.models))[:3] {
			e.server.Models = append(e.server.Models, galenastair.LoadedModel{Name: s.models[m]})
		}
		s.engines = append(s.engines, e)
		if c.share {
			s.aggregator.SetServer(speed.KeyOf(e.server.ID, 1), "writer")
		}
	}
	for i := range instances {
		s.addInstance(simZones[i%3], c.share, instances)
	}
	if c.share {
		s.step()
	}
	s.arrive()
	return s
}

func (s *speedSim) addInstance(zone galenastair.AvailabilityZone, share bool, instances int) *speedInstance {
	opts := []Option{WithRand(s.rng), WithFleetSize(func() int { return instances })}
	if share {
		opts = append(opts, WithServerSpeeds())
	}
	in := &speedInstance{pool: New(zone, opts...)}
	for _, e := range s.engines {
		in.pool.Set(s.now, e.server)
	}
	s.instances = append(s.instances, in)
	s.after(time.Duration(s.rng.Int64N(int64(exchangePeriod))), func() { s.exchange(in) })
	return in
}

func (s *speedSim) after(d time.Duration, do func()) {
	heap.Push(&s.events, speedEvent{s.now.Add(d), do})
}

func (s *speedSim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(speedEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *speedSim) measure(d time.Duration) speedResult {
	s.measureFrom, s.waits = s.now, nil
	for _, e := range s.engines {
		e.busy, e.sent = 0, 0
	}
	s.run(d)
	slices.Sort(s.waits)
	r := speedResult{sent: map[float64]float64{}}
	count := map[float64]int{}
	var sum, most time.Duration
	for _, e := range s.engines {
		sum += e.busy
		most = max(most, e.busy)
		r.sent[e.ratio] += float64(e.sent)
		count[e.ratio]++
	}
	r.busiest = float64(most) * float64(len(s.engines)) / float64(sum)
	for ratio, n := range count {
		r.sent[ratio] /= float64(n) * d.Seconds()
	}
	var total time.Duration
	late := 0
	for _, w := range s.waits {
		total += w
		if w > simTarget {
			late++
		}
	}
	r.mean = total / time.Duration(len(s.waits))
	r.p95 = s.waits[len(s.waits)*95/100]
	r.late = float64(late) / float64(len(s.waits))
	return r
}

// speedResult is what callers got, and how the work was shared.
type speedResult struct {
	mean, p95 time.Duration
	late      float64
	// busiest is the work of the busiest engine over the mean, sent the requests per second and engine
	// by the engine's ratio.
	busiest float64
	sent    map[float64]float64
}

func (s *speedSim) step() {
	if s.aggregator != nil {
		s.aggregator.Step(s.now)
	}
	s.after(200*time.Millisecond, s.step)
}

func (s *speedSim) exchange(in *speedInstance) {
	s.after(exchangePeriod, func() { s.exchange(in) })
	for k, l := range in.reported {
		sum := s.loads[k]
		s.loads[k] = Load{sum.InFlight - l.InFlight, sum.PendingTokens - l.PendingTokens}
	}
	in.reported = map[ServerKey]Load{}
	for id, l := range in.pool.Loads() {
		in.reported[KeyOf(id)] = l
	}
	others := make(map[ServerKey]Load, len(s.loads))
	for k, l := range s.loads {
		others[k] = l
	}
	in.pool.SetPeerLoads(s.now, others)
	for k, l := range in.reported {
		sum := s.loads[k]
		s.loads[k] = Load{sum.InFlight + l.InFlight, sum.PendingTokens + l.PendingTokens}
	}
	observations := in.pool.TakeSpeedObservations()
	if s.aggregator == nil {
		return
	}
	for i, o := range observations {
		observations[i].Ratio = speed.FromSteps(o.Ratio.Steps())
	}
	s.aggregator.Observe(s.now, observations)
	u := s.aggregator.Since(in.seen)
	in.pool.SetSpeeds(s.now, u)
	in.seen = u.Newest
}

func (s *speedSim) arrive() {
	s.after(time.Duration(s.rng.ExpFloat64()/s.perSecond*float64(time.Second)), s.arrive)
	in := s.instances[s.rng.IntN(len(s.instances))]
	tokens := galenastair.Tokens(1500 + s.rng.IntN(1700))
	q := Query{Service: "writer", TargetLatency: simTarget, RequestHints: galenastair.RequestHints{Model: s.models[s.rng.IntN(len(s.models))], PromptTokens: tokens, OutputTokens: 60}}
	choice, ok := in.pool.Choose(s.now, q)
	if !ok {
		return
	}
	i, _ := strconv.Atoi(string(choice.ID[1:]))
	s.send(in, s.engines[i], q)
}

func (s *speedSim) send(in *speedInstance, e *speedEngine, q Query) {
	sent := s.now
	a := in.pool.Begin(sent, e.server.ID, q)
	begin := e.busyUntil
	if begin.Before(sent) {
		begin = sent
	}
	ratio := e.ratio
	if second := int(begin.Sub(start).Seconds()); e.slow[second%len(e.slow)] {
		ratio *= slowMomentRatio
	}
	prefill := time.Duration(float64(q.PromptTokens) / 20400 * ratio * float64(time.Second))
	e.busyUntil = begin.Add(prefill)
	e.inFlight++
	e.sent++
	e.busy += prefill
	step := time.Duration(float64(decodeStep+time.Duration(e.inFlight)*decodeStepPerRequest) * ratio)
	first := e.busyUntil.Add(2 * step)
	if !sent.Before(s.measureFrom) {
		s.waits = append(s.waits, first.Sub(sent))
	}
	s.after(first.Sub(sent), func() { a.Started(s.now) })
	s.after(first.Add(60*step).Sub(sent), func() {
		e.inFlight--
		a.End(s.now, Succeeded)
	})
}

// Guards against slow engines that get nearly the same work as others, so that their callers wait while
// fast engines are idle.
func TestUnevenEnginesShareWorkBySpeed(t *testing.T) {
	is := is.New(t)
	var results [2]speedResult
	for i, share := range []bool{false, true} {
		s := newSpeedSim(speedSimConfig{seed: 3, share: share, ratios: unevenRatio, slowMoments: 0.15, perEngine: 5, engines: 100})
		s.run(20 * time.Second)
		results[i] = s.measure(30 * time.Second)
		t.Logf("shared %v: %+v", share, results[i])
	}
	off, on := results[0], results[1]
	is.True(on.late < 0.9*off.late)
	is.True(on.mean < off.mean)
	is.True(on.sent[1.7] < 0.95*off.sent[1.7]) // requests per slow engine
	is.True(on.sent[0.7] > 1.05*off.sent[0.7]) // requests per fast engine
}

// factors returns how many of the engines of a ratio have a factor within a range, of how many.
func (s *speedSim) factors(ratio, from, to float64, factor func(speed.Key) speed.Ratio) (int, int) {
	n, all := 0, 0
	for _, e := range s.engines {
		if e.ratio != ratio {
			continue
		}
		all++
		if f := float64(factor(speed.KeyOf(e.server.ID, e.server.Incarnation))); f >= from && f <= to {
			n++
		}
	}
	return n, all
}

// Guards against queues, which instances know late, that make equal engines count as uneven.
func TestEqualEnginesAreServedAsBefore(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ perEngine, slowMoments float64 }{{3.5, 0}, {6.5, 0}, {5.5, 0.15}} {
		var results [2]speedResult
		for i, share := range []bool{false, true} {
			s := newSpeedSim(speedSimConfig{seed: 5, share: share, ratios: equalRatio, slowMoments: c.slowMoments, perEngine: c.perEngine, engines: 70})
			s.run(10 * time.Second)
			results[i] = s.measure(20 * time.Second)
			if share {
				n, all := s.factors(1, 1, 1, s.aggregator.Factor)
				t.Logf("%+v: %d of %d engines count as equal, late %.4f off, %.4f on", c, n, all, results[0].late, results[1].late)
				is.True(n >= all*9/10)
			}
		}
		is.True(results[1].late <= 1.1*results[0].late+0.001)
	}
}

// Guards against a choice that differs from that without shared speeds although all servers are equally
// fast.
func TestFactorsOfOneChangeNoChoice(t *testing.T) {
	is := is.New(t)
	off, on := testPool(), testPool(WithServerSpeeds())
	rng := rand.New(rand.NewPCG(1, 9))
	type running struct{ off, on *Attempt }
	var attempts []running
	now := start
	for i := range 3000 {
		now = now.Add(time.Duration(rng.IntN(80)) * time.Millisecond)
		if i%50 == 0 {
			var u speed.Update
			for _, id := range []galenastair.BackendServerID{"s1", "s2", "s3"} {
				u.Factors = append(u.Factors, speed.Factor{Server: speed.KeyOf(id, 1), Ratio: 1})
			}
			on.SetSpeeds(now, u)
		}
		q := testQuery()
		a, _ := off.Choose(now, q)
		b, _ := on.Choose(now, q)
		is.Equal(a.ID, b.ID)
		is.Equal(a.PredictedLatency, b.PredictedLatency)
		is.Equal(off.EngineTime(q), on.EngineTime(q))
		attempts = append(attempts, running{off.Begin(now, a.ID, q), on.Begin(now, b.ID, q)})
		if len(attempts) > 8 {
			r := attempts[0]
			attempts = attempts[1:]
			r.off.Started(now)
			r.on.Started(now)
			r.off.End(now, Succeeded)
			r.on.End(now, Succeeded)
		}
	}
	is.Equal(len(off.TakeSpeedObservations()), 0)
}

func slowServer(id galenastair.BackendServerID, r speed.Ratio) speed.Update {
	return speed.Update{Factors: []speed.Factor{{Server: speed.KeyOf(id, 1), Ratio: r}}}
}

// Guards against a speed that counts twice, in the factor and in what the instance has observed.
func TestFactorReplacesTheObservedRatio(t *testing.T) {
	is := is.New(t)
	p := testPool(WithServerSpeeds())
	now := start
	answer := func() {
		a := p.Begin(now, "s1", testQuery())
		took := 2 * a.nominal
		now = now.Add(took)
		a.Started(now)
		a.End(now, Succeeded)
	}
	for range 12 {
		answer()
	}
	predict := func() float64 {
		q := testQuery()
		b := p.backends["s1"]
		return float64(p.predictLatency(now, b, &q)) / float64(b.nominal(now, &q))
	}
	before := predict()
	p.SetSpeeds(now, slowServer("s1", 2))
	after := predict()
	t.Logf("predicted ratio %.2f, %.2f with a factor of 2", before, after)
	is.True(after/before < 1.25) // the factor must not come on top of the observed ratio
	for range 20 {
		answer()
	}
	is.True(predict() > 1.8 && predict() < 2.2)
	now = now.Add(time.Minute)
	is.True(predict() > 1.8) // the factor stays although the observed ratio decays
}

// Guards against the demand for a model that seems to grow because a slow server answers it. Placement
// counts the factor once more.
func TestEngineTimeDoesNotDependOnTheServer(t *testing.T) {
	is := is.New(t)
	var times [2]time.Duration
	for i, factor := range []speed.Ratio{1, 2} {
		p := testPool(WithServerSpeeds())
		p.SetSpeeds(start, slowServer("s1", factor))
		now := start
		for range 40 {
			a := p.Begin(now, "s1", testQuery())
			now = now.Add(time.Duration(factor) * 150 * time.Millisecond)
			a.Started(now)
			now = now.Add(time.Duration(factor) * 400 * time.Millisecond)
			a.End(now, Succeeded)
		}
		times[i] = p.EngineTime(testQuery())
	}
	is.Equal(times[0], times[1])
}

// Guards against a factor that is applied to the next process with the same ID, and against one that is
// lost because it arrives before the registration.
func TestFactorBelongsToAnIncarnation(t *testing.T) {
	is := is.New(t)
	p := New("z1", WithServerSpeeds())
	p.SetSpeeds(start, slowServer("s1", 1.7))
	s := Server{ID: "s1", Service: "writer", Slots: 64, Incarnation: 1, Heartbeat: 1}
	p.Set(start, s)
	is.Equal(p.States(start)[0].SpeedFactor, 1.7)
	s.Incarnation = 2
	p.Set(start, s)
	is.Equal(p.States(start)[0].SpeedFactor, 1.0)
}

// Guards against failures, which are fast, that make a server count as fast, and against observations of
// requests that waited for others.
func TestOnlyAnswersWithoutAQueueAreObserved(t *testing.T) {
	is := is.New(t)
	p := testPool(WithServerSpeeds())
	p.Set(start, Server{ID: "plain", Service: "records", AvailabilityZone: "z1", Slots: 2, Incarnation: 1, Heartbeat: 1})
	plain := Query{Service: "records"}
	answer := func(id galenastair.BackendServerID, q Query, r Result) {
		a := p.Begin(start, id, q)
		a.Started(start.Add(30 * time.Millisecond))
		a.End(start.Add(30*time.Millisecond), r)
	}
	answer("plain", plain, ServerError)
	answer("plain", plain, Neutral)
	is.Equal(len(p.TakeSpeedObservations()), 0)
	answer("plain", plain, Succeeded)
	is.Equal(len(p.TakeSpeedObservations()), 1)
	p.Begin(start, "plain", plain)
	p.Begin(start, "plain", plain)
	answer("plain", plain, Succeeded)
	is.Equal(len(p.TakeSpeedObservations()), 0)

	answer("s1", testQuery(), Succeeded)
	is.Equal(len(p.TakeSpeedObservations()), 1)
	p.Begin(start, "s1", testQuery())
	answer("s1", testQuery(), Succeeded)
	is.Equal(len(p.TakeSpeedObservations()), 0)
	p.SetPeerLoads(start, map[ServerKey]Load{KeyOf("s2"): {InFlight: 64}})
	answer("s2", testQuery(), Succeeded)
	is.Equal(len(p.TakeSpeedObservations()), 0)
	for range 10 * speed.MaxObservations {
		answer("s3", testQuery(), Succeeded)
	}
	is.Equal(len(p.TakeSpeedObservations()), speed.MaxObservations)
}

// Guards against factors that are lost, or stay wrong, when the leader fails, a server restarts with
// another speed, or an instance starts late.
func TestSpeedsSurviveTheLossOfTheLeader(t *testing.T) {
	is := is.New(t)
	s := newSpeedSim(speedSimConfig{seed: 4, share: true, ratios: unevenRatio, slowMoments: 0.15, perEngine: 3.5, engines: 70})
	s.run(25 * time.Second)
	received := s.instances[3].pool
	slow, all := s.factors(1.7, 1.3, 2.4, received.speeds.Factor)
	is.True(slow >= all*9/10)

	s.aggregator = nil
	s.run(3 * time.Second)
	n, _ := s.factors(1.7, 1.3, 2.4, received.speeds.Factor)
	is.Equal(n, slow) // the factors stay without a leader

	restarted := s.engines[1]
	is.Equal(restarted.ratio, 1.7)
	restarted.server.Incarnation, restarted.ratio = 2, 1
	next := speed.NewAggregator(s.now)
	for _, e := range s.engines {
		next.SetServer(speed.KeyOf(e.server.ID, e.server.Incarnation), "writer")
	}
	for _, in := range s.instances {
		in.pool.Set(s.now, restarted.server)
		in.seen = 0
	}
	next.Restart(s.now, received.SpeedFactors())
	s.aggregator = next
	late := s.addInstance("z2", true, len(s.instances))
	s.run(time.Second)
	n, all = s.factors(1.7, 1.3, 2.4, late.pool.speeds.Factor)
	is.True(n >= all*9/10) // a new leader and an instance that starts begin with the factors
	s.run(20 * time.Second)
	for _, p := range []*Pool{received, late.pool} {
		n, all = s.factors(1.7, 1.3, 2.4, p.speeds.Factor)
		is.True(n >= all*9/10)
		f := p.speeds.Factor(speed.KeyOf(restarted.server.ID, 2))
		is.True(f > 0.8 && f < 1.25) // the restarted server has its new speed
	}
}
