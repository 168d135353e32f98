package proof

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/config"
	"galenastair/contract"
	"galenastair/logservice"
)

// publishTimeout bounds an operator's patience; an outage may be longer.
const publishTimeout = 20 * time.Second

// Operators plays those who publish contracts and keys.
type Operators struct {
	log    galenastair.Log
	record *recorder
}

func newOperators(f *Fleet, r *recorder) *Operators {
	return &Operators{log: logservice.New(f.Platform), record: r}
}

// NewOperators returns operators whose changes nobody records.
func NewOperators(f *Fleet) *Operators { return newOperators(f, &recorder{}) }

var errRejected = eris.New("the contract was not accepted")

// Publish puts a contract in force in place of the present one.
func (o *Operators) Publish(ctx context.Context, next contract.Contract) error {
	done := o.change(ctx, config.KindContractPublished, Change{Organisation: next.Organisation}, func(v *config.View) any {
		return config.ContractPublished{Base: v.LastChange(next.Organisation).Offset, Contract: next}
	})
	if !done.Accepted {
		return eris.Wrap(errRejected, string(next.Organisation))
	}
	return nil
}

// change publishes one record and writes down what became of it.
func (o *Operators) change(ctx context.Context, kind galenastair.RecordKind, c Change, body func(*config.View) any) Change {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	c.Kind, c.Start, c.Unsure = kind, time.Now(), true
	p := config.NewPublisher(o.log)
	v, err := p.CatchUp(ctx)
	if err == nil {
		c.Base = v.LastChange(c.Organisation).Offset
		c = o.publish(ctx, p, kind, c, body(v))
	}
	c.End = time.Now()
	o.record.change(c)
	return c
}

func (o *Operators) publish(ctx context.Context, p *config.Publisher, kind galenastair.RecordKind, c Change, body any) Change {
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
func (o *Operators) contract(ctx context.Context, c *customer) Change {
	return o.change(ctx, config.KindContractPublished, Change{Organisation: c.name}, func(v *config.View) any {
		next := contract.Contract{Organisation: c.name, Rate: c.rate, Burst: c.burst, Models: c.models, Services: c.services}
		if old, ok := v.Contract(c.name); ok {
			next.KeyHashes = old.KeyHashes
		}
		return config.ContractPublished{Base: v.LastChange(c.name).Offset, Contract: next}
	})
}

// giveKey gives a customer a new key, which its callers use from then on.
func (o *Operators) giveKey(ctx context.Context, c *customer) string {
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

func (o *Operators) withdrawKey(ctx context.Context, c *customer, key string) Change {
	hash := galenastair.HashKey(key)
	return o.change(ctx, config.KindKeyWithdrawn, Change{Organisation: c.name, Key: hash}, func(*config.View) any {
		return config.KeyWithdrawn{KeyHash: hash}
	})
}
