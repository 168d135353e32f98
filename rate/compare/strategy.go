package compare

import (
	"time"

	"galenastair"
	"galenastair/rate"
)

// way is one way of keeping the contract; instances are numbered from 0.
type way interface {
	// charge returns how to settle the charge, or nil if the request is refused.
	charge(instance int, n galenastair.Tokens) (settle func(used galenastair.Tokens))
	// tick is called every tickPeriod.
	tick()
	// kill stops an instance, and lapse makes the others take over from it.
	kill(instance int)
	lapse(instance int)
	cost() cost
}

// cost is what has been sent between instances.
type cost struct {
	messages int
	// content is in bytes, without what HTTP adds.
	content int
}

func (c cost) bytes(headers int) int { return c.content + c.messages*headers }

// site is what all ways share: the clock, the contract, and the number of instances.
type site struct {
	now       time.Time
	contract  rate.Contract
	instances int
	zones     int
}

// bucket is a token bucket with late refunds, by the product's own rules.
type bucket struct {
	*rate.Bucket
	site *site
}

func (b bucket) charge(n galenastair.Tokens) func(galenastair.Tokens) {
	if !b.Lend(b.site.now, n) {
		return nil
	}
	mark := b.Close(b.site.now, n, n)
	return func(used galenastair.Tokens) { b.Refund(b.site.now, n-used, mark) }
}

// equalSplit gives every instance the same part; it sends nothing.
type equalSplit struct {
	site    *site
	buckets []bucket
	share   func(living int) rate.Share
	living  int
}

func newEqualSplit(s *site, whole rate.Share) *equalSplit {
	e := &equalSplit{site: s, living: s.instances}
	e.share = func(living int) rate.Share {
		return rate.Share{Rate: whole.Rate / rate.ShareRate(living), Burst: whole.Burst / galenastair.Tokens(living)}
	}
	for range s.instances {
		e.buckets = append(e.buckets, bucket{rate.NewFullBucket(e.share(e.living), s.now), s})
	}
	return e
}

func (e *equalSplit) charge(i int, n galenastair.Tokens) func(galenastair.Tokens) {
	return e.buckets[i].charge(n)
}

func (e *equalSplit) tick()    {}
func (e *equalSplit) kill(int) {}

func (e *equalSplit) lapse(int) {
	e.living--
	for _, b := range e.buckets {
		b.Change(e.site.now, e.share(e.living))
	}
}

func (e *equalSplit) cost() cost { return cost{} }

// oneHome keeps the whole contract at one instance and asks it for each request.
type oneHome struct {
	site   *site
	bucket bucket
	home   int
	dead   bool
	sent   cost
}

func newOneHome(s *site) *oneHome {
	return &oneHome{site: s, bucket: bucket{rate.NewFullBucket(s.contract.Whole(), s.now), s}}
}

func (o *oneHome) charge(i int, n galenastair.Tokens) func(galenastair.Tokens) {
	o.send(i)
	if o.dead {
		return nil
	}
	settle, home := o.bucket.charge(n), o.home
	if settle == nil {
		return nil
	}
	return func(used galenastair.Tokens) {
		o.send(i)
		if !o.dead && o.home == home {
			settle(used)
		}
	}
}

func (o *oneHome) send(from int) {
	if from != o.home {
		o.sent.messages++
		o.sent.content += smallMessage
	}
}

func (o *oneHome) tick()      {}
func (o *oneHome) kill(i int) { o.dead = o.dead || i == o.home }

func (o *oneHome) lapse(i int) {
	if i == o.home {
		o.home, o.dead = i+1, false
		o.bucket = bucket{rate.NewBucket(o.site.contract.Whole(), o.site.now), o.site}
	}
}

func (o *oneHome) cost() cost { return o.sent }

// partStatic splits a part of the contract equally and leaves the rest to another way.
type partStatic struct {
	*equalSplit
	rest way
}

func (p *partStatic) charge(i int, n galenastair.Tokens) func(galenastair.Tokens) {
	if settle := p.equalSplit.charge(i, n); settle != nil {
		return settle
	}
	return p.rest.charge(i, n)
}

func (p *partStatic) tick()      { p.rest.tick() }
func (p *partStatic) kill(i int) { p.rest.kill(i) }

func (p *partStatic) lapse(i int) {
	p.equalSplit.lapse(i)
	p.rest.lapse(i)
}

func (p *partStatic) cost() cost { return p.rest.cost() }
