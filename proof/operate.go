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

// publishTimeout limits how long an operator waits for a change. An outage of the log
// can last longer, and the outcome of the change is then unknown.
const publishTimeout = 20 * time.Second

// Operator publishes contracts and keys as operators of the system do.
type Operator struct {
	log      galenastair.Log
	recorder *recorder
}

func newOperator(f *Fleet, r *recorder) *Operator {
	return &Operator{log: logservice.New(f.PlatformAddress), recorder: r}
}

// NewOperator returns an operator whose changes are recorded in no history.
func NewOperator(f *Fleet) *Operator { return newOperator(f, &recorder{}) }

var errRejected = eris.New("contract not accepted")

// Publish publishes a contract that replaces the present one.
func (o *Operator) Publish(ctx context.Context, next contract.Contract) error {
	done := o.publishChange(ctx, config.KindContractPublished, Change{Organisation: next.Organisation}, func(v *config.View) any {
		return config.ContractPublished{Base: v.LastChange(next.Organisation).Offset, Contract: next}
	})
	if !done.Accepted {
		return eris.Wrap(errRejected, string(next.Organisation))
	}
	return nil
}

// publishChange publishes the record that body returns for the current configuration,
// and adds the change with its outcome to the history.
func (o *Operator) publishChange(ctx context.Context, kind galenastair.RecordKind, c Change, body func(*config.View) any) Change {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	c.Kind, c.Start, c.OutcomeUnknown = kind, time.Now(), true
	p := config.NewPublisher(o.log)
	v, err := p.CatchUp(ctx)
	if err == nil {
		c.BaseOffset = v.LastChange(c.Organisation).Offset
		c = o.publishRecord(ctx, p, kind, c, body(v))
	}
	c.End = time.Now()
	o.recorder.addChange(c)
	return c
}

func (o *Operator) publishRecord(ctx context.Context, p *config.Publisher, kind galenastair.RecordKind, c Change, body any) Change {
	r, err := config.NewRecord(kind, "operator", body)
	if err != nil {
		return c
	}
	v, err := p.Publish(ctx, r)
	if err != nil {
		return c
	}
	c.OutcomeUnknown, c.Offset, c.Accepted = false, v.Offset, v.Outcome == config.Accepted
	return c
}

// publishContract publishes a customer's contract and keeps the keys of the present one.
func (o *Operator) publishContract(ctx context.Context, c *customer) Change {
	return o.publishChange(ctx, config.KindContractPublished, Change{Organisation: c.name}, func(v *config.View) any {
		next := contract.Contract{Organisation: c.name, Rate: c.rate, Burst: c.burst, Models: c.models, Services: c.services}
		if old, ok := v.Contract(c.name); ok {
			next.KeyHashes = old.KeyHashes
		}
		return config.ContractPublished{Base: v.LastChange(c.name).Offset, Contract: next}
	})
}

// issueKey publishes a new key of a customer. If the record is accepted, the
// customer's callers use the key from then on.
func (o *Operator) issueKey(ctx context.Context, c *customer) string {
	key := rand.Text()
	hash := galenastair.HashKey(key)
	done := o.publishChange(ctx, config.KindKeyGiven, Change{Organisation: c.name, Key: hash}, func(*config.View) any {
		return config.KeyGiven{Organisation: c.name, KeyHash: hash}
	})
	if done.Accepted {
		c.addKey(key)
	}
	return key
}

func (o *Operator) withdrawKey(ctx context.Context, c *customer, key string) Change {
	hash := galenastair.HashKey(key)
	return o.publishChange(ctx, config.KindKeyWithdrawn, Change{Organisation: c.name, Key: hash}, func(*config.View) any {
		return config.KeyWithdrawn{KeyHash: hash}
	})
}
