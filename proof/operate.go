package proof

import (
	"context"
	"crypto/rand"
	"time"

	"galenastair"
	"galenastair/config"
	"galenastair/contract"
	"galenastair/platform"
)

// publishTimeout bounds an operator's patience; an outage may be longer.
const publishTimeout = 20 * time.Second

// operators plays those who publish contracts and keys.
type operators struct {
	log    galenastair.Log
	record *recorder
}

func newOperators(f *Fleet, r *recorder) *operators {
	return &operators{log: platform.New(f.Platform), record: r}
}

// change publishes one record and writes down what became of it.
func (o *operators) change(ctx context.Context, kind galenastair.RecordKind, c Change, body func(*config.View) any) Change {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	c.Kind, c.Start, c.Unsure = kind, time.Now(), true
	p := config.NewPublisher(o.log)
	v, err := p.CatchUp(ctx)
	if err == nil {
		c.Base = v.Latest(c.Organisation).Offset
		c = o.publish(ctx, p, kind, c, body(v))
	}
	c.End = time.Now()
	o.record.change(c)
	return c
}

func (o *operators) publish(ctx context.Context, p *config.Publisher, kind galenastair.RecordKind, c Change, body any) Change {
	r, err := config.NewRecord(kind, "operator", body)
	if err != nil {
		return c
	}
	v, err := p.Publish(ctx, r)
	if err != nil {
		return c
	}
	c.Unsure, c.Offset, c.Accepted = false, v.Offset, v.Outcome == config.Accepted
	return c
}

// contract puts a customer's contract in force.
func (o *operators) contract(ctx context.Context, c *customer) Change {
	return o.change(ctx, config.KindContractPublished, Change{Organisation: c.name}, func(v *config.View) any {
		next := contract.Contract{Organisation: c.name, Rate: c.rate, Burst: c.burst, Models: c.models, Services: c.services}
		if old, ok := v.Contract(c.name); ok {
			next.KeyHashes = old.KeyHashes
		}
		return config.ContractPublished{Base: v.Latest(c.name).Offset, Contract: next}
	})
}

// giveKey gives a customer a new key, which its callers use from then on.
func (o *operators) giveKey(ctx context.Context, c *customer) string {
	key := rand.Text()
	hash := galenastair.HashKey(key)
	done := o.change(ctx, config.KindKeyGiven, Change{Organisation: c.name, Key: hash}, func(*config.View) any {
		return config.KeyGiven{Organisation: c.name, KeyHash: hash}
	})
	if done.Accepted {
		c.addKey(key)
	}
	return key
}

func (o *operators) withdrawKey(ctx context.Context, c *customer, key string) Change {
	hash := galenastair.HashKey(key)
	return o.change(ctx, config.KindKeyWithdrawn, Change{Organisation: c.name, Key: hash}, func(*config.View) any {
		return config.KeyWithdrawn{KeyHash: hash}
	})
}
