package config

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/timer"
)

var (
	// ErrNotPublished says that the change certainly did not reach the log.
	ErrNotPublished = eris.New("the change was not published")
	// ErrPublishUnknown says that the change may still turn up in the log.
	ErrPublishUnknown = eris.New("it is not known whether the change was published")
)

const (
	// publishPoll is how long one read for one's own record waits at the log.
	publishPoll = time.Second
	// refusedPause spaces appends that the log refused, certainly without effect:
	// many operators at once come to a log of several hundred appends a second.
	refusedPause = 250 * time.Millisecond
)

// Publisher appends changes and finds out what became of them.
type Publisher struct {
	reader *reader
	// verdicts holds what became of the records that are waited for.
	verdicts map[galenastair.RecordID]Verdict
}

// NewPublisher returns a publisher that knows nothing until CatchUp.
func NewPublisher(l galenastair.Log) *Publisher {
	p := &Publisher{reader: newReader(l), verdicts: make(map[galenastair.RecordID]Verdict)}
	p.reader.folded = p.record
	return p
}

// CatchUp reads the stream to its present end and returns the configuration there.
func (p *Publisher) CatchUp(ctx context.Context) (*View, error) {
	for {
		caughtUp, err := p.reader.read(ctx, 0)
		if err != nil {
			return nil, err
		}
		if caughtUp {
			return p.reader.fold.View(), nil
		}
	}
}

// Publish appends a change and reads on until its own record comes by.
//
// Failure: the answer of the append is lost after it took effect. It would show
// as a change made twice, or as one reported failed that is in force. The guard
// holds since nothing is appended again unless the log said that it refused,
// and the record is known by its id.
func (p *Publisher) Publish(ctx context.Context, r galenastair.Record) (Verdict, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return Verdict{}, eris.Wrap(err, "encode record")
	}
	p.verdicts[r.ID] = Verdict{}
	defer delete(p.verdicts, r.ID)
	if err := p.append(ctx, data); err != nil {
		return Verdict{}, err
	}
	return p.await(ctx, r.ID)
}

// append returns nil where the record is, or may be, in the log.
func (p *Publisher) append(ctx context.Context, data []byte) error {
	for {
		_, err := p.reader.log.Append(ctx, galenastair.ConfigurationStream, data)
		if !errors.Is(err, galenastair.ErrAppendRefused) {
			return nil
		}
		timer.Wait(ctx, refusedPause)
		if ctx.Err() != nil {
			return eris.Wrap(ErrNotPublished, err.Error())
		}
	}
}

func (p *Publisher) await(ctx context.Context, id galenastair.RecordID) (Verdict, error) {
	for {
		_, err := p.reader.read(ctx, publishPoll)
		if v := p.verdict(id); v.Record == id {
			return v, nil
		}
		if ctx.Err() != nil {
			return Verdict{}, eris.Wrapf(ErrPublishUnknown, "record %s", id)
		}
		if errors.Is(err, ErrNewerRules) {
			return Verdict{}, err
		}
		if err != nil {
			timer.Wait(ctx, retryMin)
		}
	}
}

// verdict looks into the fold as well: the record may have expired, and a
// snapshot that covers it have taken its place, before it was read.
func (p *Publisher) verdict(id galenastair.RecordID) Verdict {
	v := p.verdicts[id]
	if first, found := p.reader.fold.recent.get(id); found && v.Record == "" {
		return Verdict{Offset: first.Offset, Record: id, Outcome: first.Outcome}
	}
	return v
}

func (p *Publisher) record(_ galenastair.LogRecord, v Verdict) {
	// a copy of the record changes nothing; the first verdict counts
	if known, awaited := p.verdicts[v.Record]; awaited && known.Record == "" {
		p.verdicts[v.Record] = v
	}
}
