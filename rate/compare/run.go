package compare

import (
	"math/rand/v2"
	"time"

	"galenastair"
	"galenastair/rate"
)

// scenario is one load and what goes wrong during it.
type scenario struct {
	name     string
	contract rate.Contract
	// hot sends nine requests in ten to one instance.
	hot     bool
	kill    bool
	logDown bool
}

const (
	runTime = 90 * time.Second
	// warmTime lets every bucket fill before the first request; each way starts from the same state.
	warmTime = 30 * time.Second
	killAt   = 30 * time.Second
	// lapseTime is from a death until its duties have been taken over with the log up.
	lapseTime = 6 * time.Second
	// logBack is when a log that was down takes the record of a lapse.
	logBack = 60 * time.Second
	// load is the part of the contract's rate that the requests use after refunds.
	load = 0.8
	// victim holds the first share, and is the home of what has one home.
	victim = 0
)

// usual allows a few requests at once at each of nine instances; small allows
// fewer at once than there are instances.
var (
	usual = rate.Contract{Rate: 6000, Burst: 36_000}
	small = rate.Contract{Rate: 3000, Burst: 6000}
)

func scenarios() []scenario {
	return []scenario{
		{name: "even traffic", contract: usual},
		{name: "one hot entry", contract: usual, hot: true},
		{name: "dead holder", contract: usual, kill: true},
		{name: "log down", contract: usual, logDown: true},
		{name: "dead holder, log down", contract: usual, kill: true, logDown: true},
		{name: "small burst", contract: small},
		{name: "small burst, one hot entry", contract: small, hot: true},
	}
}

// Result is what one way did in one scenario.
type Result struct {
	Requests int
	// WithinRate counts requests that one bucket for all would have granted, and Refused those of them that were refused.
	WithinRate int
	Refused    int
	// Granted counts all that was granted, also what the one bucket refused.
	Granted int
	// Messages and Bytes are sent between instances, by HTTP/1.1.
	Messages int
	Bytes    int
	// Without is the longest time in which nothing within the rate was granted.
	Without time.Duration
	// Over counts tokens beyond the contract in the merged history.
	Over error
}

// request is one charge; the same requests go to every way.
type request struct {
	at       time.Duration
	instance int
	charge   galenastair.Tokens
	used     galenastair.Tokens
	takes    time.Duration
}

// requests draws arrivals at random moments; half of what is charged is used on average.
func (s scenario) requests(seed uint64, instances int) []request {
	r := rand.New(rand.NewPCG(seed, seed))
	const meanCharge = 1200
	perSecond := load * float64(s.contract.Rate) / (meanCharge / 2)
	var list []request
	for at := warmTime; ; {
		at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		if at >= warmTime+runTime {
			return list
		}
		q := request{at: at, instance: r.IntN(instances), charge: galenastair.Tokens(400 + r.IntN(1600))}
		if s.hot && r.IntN(10) > 0 {
			q.instance = instances - 1
		}
		q.used = q.charge * galenastair.Tokens(r.IntN(101)) / 100
		q.takes = time.Duration(500+r.IntN(2500)) * time.Millisecond
		list = append(list, q)
	}
}

// play is one run of one way through one scenario.
type play struct {
	scenario scenario
	site     *site
	way      way
	ideal    bucket
	start    time.Time
	next     time.Duration
	due      []settlement
	history  []rate.Grant
	result   Result
	without  time.Duration
	dead     bool
}

type settlement struct {
	at     time.Duration
	settle func()
}

func run(s scenario, seed uint64, instances int, build func(*site) way) Result {
	start := time.Unix(1000, 0)
	p := &play{scenario: s, start: start, without: -1}
	p.site = &site{now: start, contract: s.contract, instances: instances, zones: 3}
	p.way = build(p.site)
	p.ideal = bucket{rate.NewFullBucket(s.contract.Whole(), start), p.site}
	for _, q := range s.requests(seed, instances) {
		p.advance(q.at)
		p.request(q)
	}
	p.advance(warmTime + runTime)
	p.served(warmTime + runTime)
	p.result.Over = rate.CheckHistory(p.history, s.contract)
	p.result.Messages, p.result.Bytes = p.way.cost().messages, p.way.cost().bytes(headers1)
	return p.result
}

// advance does everything that is due before a moment, in the order of time.
func (p *play) advance(to time.Duration) {
	for {
		i := p.firstDue()
		switch {
		case i >= 0 && p.due[i].at <= min(p.next, to):
			p.set(p.due[i].at)
			p.due[i].settle()
			p.due = append(p.due[:i], p.due[i+1:]...)
		case p.next <= to:
			p.set(p.next)
			p.fail(p.next - warmTime)
			p.way.tick()
			p.next += tickPeriod
		default:
			p.set(to)
			return
		}
	}
}

func (p *play) set(at time.Duration) { p.site.now = p.start.Add(at) }

func (p *play) firstDue() int {
	first := -1
	for i, d := range p.due {
		if first < 0 || d.at < p.due[first].at {
			first = i
		}
	}
	return first
}

func (p *play) fail(at time.Duration) {
	if !p.scenario.kill {
		return
	}
	lapse := killAt + lapseTime
	if p.scenario.logDown {
		lapse = logBack
	}
	switch at {
	case killAt:
		p.dead = true
		p.way.kill(victim)
	case lapse:
		p.way.lapse(victim)
	}
}

func (p *play) request(q request) {
	if p.dead && q.instance == victim {
		// the platform's balancer sends it elsewhere
		q.instance++
	}
	ideal := p.ideal.charge(q.charge)
	settle := p.way.charge(q.instance, q.charge)
	p.result.Requests++
	if ideal != nil {
		p.result.WithinRate++
		p.later(q, ideal)
	}
	switch {
	case settle != nil:
		p.served(q.at)
		p.result.Granted++
		p.granted(q, settle)
	case ideal != nil:
		p.result.Refused++
		if p.without < 0 {
			p.without = q.at
		}
	}
}

func (p *play) granted(q request, settle func(galenastair.Tokens)) {
	i := len(p.history)
	p.history = append(p.history, rate.Grant{
		Request: galenastair.RequestID(q.at.String()), At: p.site.now, Tokens: q.charge,
	})
	p.later(q, func(used galenastair.Tokens) {
		p.history[i].Tokens = used
		settle(used)
	})
}

func (p *play) later(q request, settle func(galenastair.Tokens)) {
	p.due = append(p.due, settlement{q.at + q.takes, func() { settle(q.used) }})
}

// served ends a time without service.
func (p *play) served(at time.Duration) {
	if p.without >= 0 {
		p.result.Without = max(p.result.Without, at-p.without)
		p.without = -1
	}
}
