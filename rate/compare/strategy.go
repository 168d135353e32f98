package compare

import (
	"time"

	"galenastair"
	"galenastair/rate"
)

// strategy is a way of enforcing the contract. Instances are numbered from 0.
type strategy interface {
	// charge returns the function that settles the charge, or nil if the request is
	// refused.
	charge(instance int, n galenastair.Tokens) (settle func(used galenastair.Tokens))
	// tick is called every tickInterval.
	tick()
	// fail simulates the failure of an instance, and takeOver the takeover of its
	// shares by the others.
	fail(instance int)
	takeOver(instance int)
	traffic() traffic
}

// traffic counts what was sent between instances.
type traffic struct {
	messages int
	// content is in bytes, without HTTP headers.
	content int
}

func (t traffic) bytesWithHeaders(headers int) int { return t.content + t.messages*headers }

// environment is shared by all strategies of a run.
type environment struct {
	now       time.Time
	contract  rate.Contract
	instances int
	zones     int
}

// bucket is a token bucket with the late refunds of package rate.
type bucket struct {
	*rate.Bucket
	env *environment
}

func (b bucket) charge(n galenastair.Tokens) func(galenastair.Tokens) {
	if !b.Lend(b.env.now, n) {
		return nil
	}
	mark := b.CloseLoan(b.env.now, n, n)
	return func(used galenastair.Tokens) { b.Refund(b.env.now, n-used, mark) }
}

// equalSplit gives every instance an equal part and sends no messages.
type equalSplit struct {
	env       *environment
	buckets   []bucket
	limitsFor func(running int) rate.Limits
	running   int
}

func newEqualSplit(env *environment, total rate.Limits) *equalSplit {
	e := &equalSplit{env: env, running: env.instances}
	e.limitsFor = func(running int) rate.Limits {
		return rate.Limits{Rate: total.Rate / rate.ShareRate(running), Burst: total.Burst / galenastair.Tokens(running)}
	}
	for range env.instances {
		e.buckets = append(e.buckets, bucket{rate.NewFullBucket(e.limitsFor(e.running), env.now), env})
	}
	return e
}

func (e *equalSplit) charge(i int, n galenastair.Tokens) func(galenastair.Tokens) {
	return e.buckets[i].charge(n)
}

func (e *equalSplit) tick()    {}
func (e *equalSplit) fail(int) {}

func (e *equalSplit) takeOver(int) {
	e.running--
	for _, b := range e.buckets {
		b.SetLimits(e.env.now, e.limitsFor(e.running))
	}
}

func (e *equalSplit) traffic() traffic { return traffic{} }

// singleOwner keeps the whole contract at one instance, which is asked for each
// request.
type singleOwner struct {
	env       *environment
	bucket    bucket
	owner     int
	ownerDown bool
	sent      traffic
}

func newSingleOwner(env *environment) *singleOwner {
	return &singleOwner{env: env, bucket: bucket{rate.NewFullBucket(env.contract.TotalLimits(), env.now), env}}
}

func (o *singleOwner) charge(i int, n galenastair.Tokens) func(galenastair.Tokens) {
	o.send(i)
	if o.ownerDown {
		return nil
	}
	settle, owner := o.bucket.charge(n), o.owner
	if settle == nil {
		return nil
	}
	return func(used galenastair.Tokens) {
		o.send(i)
		if !o.ownerDown && o.owner == owner {
			settle(used)
		}
	}
}

func (o *singleOwner) send(from int) {
	if from != o.owner {
		o.sent.messages++
		o.sent.content += chargeMessageBytes
	}
}

func (o *singleOwner) tick()      {}
func (o *singleOwner) fail(i int) { o.ownerDown = o.ownerDown || i == o.owner }

func (o *singleOwner) takeOver(i int) {
	if i == o.owner {
		o.owner, o.ownerDown = i+1, false
		o.bucket = bucket{rate.NewBucket(o.env.contract.TotalLimits(), o.env.now), o.env}
	}
}

func (o *singleOwner) traffic() traffic { return o.sent }

// partlyStatic splits a part of the contract equally and uses another strategy for the
// rest.
type partlyStatic struct {
	*equalSplit
	shared strategy
}

func (p *partlyStatic) charge(i int, n galenastair.Tokens) func(galenastair.Tokens) {
	if settle := p.equalSplit.charge(i, n); settle != nil {
		return settle
	}
	return p.shared.charge(i, n)
}

func (p *partlyStatic) tick()      { p.shared.tick() }
func (p *partlyStatic) fail(i int) { p.shared.fail(i) }

func (p *partlyStatic) takeOver(i int) {
	p.equalSplit.takeOver(i)
	p.shared.takeOver(i)
}

func (p *partlyStatic) traffic() traffic { return p.shared.traffic() }
