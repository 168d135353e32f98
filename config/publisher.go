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
	// ErrNotPublished is returned when the change definitely did not reach the log.
	ErrNotPublished = eris.New("change not published")
	// ErrPublishUnknown is returned when the change may be in the log or may still be written.
	ErrPublishUnknown = eris.New("unknown whether the change was published")
)

const (
	// publishPollTimeout is how long one read waits for the published record.
	publishPollTimeout = time.Second
	// appendRetryDelay is the pause before an append that the log refused, and thus did not
	// execute, is retried. It limits the load that many concurrent operators put on a log
	// of several hundred appends per second.
	appendRetryDelay = 250 * time.Millisecond
)

// Publisher appends changes and determines their results.
type Publisher struct {
	reader *reader
	// results holds the results of the records that are being waited for.
	results map[galenastair.RecordID]ApplyResult
}

// NewPublisher returns a publisher without any configuration; call CatchUp to read it.
func NewPublisher(l galenastair.Log) *Publisher {
	p := &Publisher{reader: newReader(l), results: make(map[galenastair.RecordID]ApplyResult)}
	p.reader.onApplied = p.recordResult
	return p
}

// CatchUp reads the stream to its current end and returns the configuration at that offset.
func (p *Publisher) CatchUp(ctx context.Context) (*View, error) {
	for {
		caughtUp, err := p.reader.read(ctx, 0)
		if err != nil {
			return nil, err
		}
		if caughtUp {
			return p.reader.sm.View(), nil
		}
	}
}

// Publish appends a change and reads the stream until it reaches the appended record.
//
// The response to an append can be lost after the append took effect. An append is
// therefore retried only if the log refused it, and its result is found by the record's
// ID. Otherwise a change could be made twice, or reported as failed although it is in
// force.
func (p *Publisher) Publish(ctx context.Context, r galenastair.Record) (ApplyResult, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return ApplyResult{}, eris.Wrap(err, "encode record")
	}
	p.results[r.ID] = ApplyResult{}
	defer delete(p.results, r.ID)
	if err := p.append(ctx, data); err != nil {
		return ApplyResult{}, err
	}
	return p.awaitResult(ctx, r.ID)
}

// append returns nil if the record is, or may be, in the log.
func (p *Publisher) append(ctx context.Context, data []byte) error {
	for {
		_, err := p.reader.log.Append(ctx, galenastair.ConfigurationStream, data)
		if !errors.Is(err, galenastair.ErrAppendRefused) {
			return nil
		}
		timer.Wait(ctx, appendRetryDelay)
		if ctx.Err() != nil {
			return eris.Wrap(ErrNotPublished, err.Error())
		}
	}
}

func (p *Publisher) awaitResult(ctx context.Context, id galenastair.RecordID) (ApplyResult, error) {
	for {
		_, err := p.reader.read(ctx, publishPollTimeout)
		if res := p.result(id); res.Record == id {
			return res, nil
		}
		if ctx.Err() != nil {
			return ApplyResult{}, eris.Wrapf(ErrPublishUnknown, "record %s", id)
		}
		if errors.Is(err, ErrNewerRules) {
			return ApplyResult{}, err
		}
		if err != nil {
			timer.Wait(ctx, minRetryDelay)
		}
	}
}

// result returns the result of a record. It falls back to the state machine, because the
// record may have expired and been replaced by a snapshot before it was read.
func (p *Publisher) result(id galenastair.RecordID) ApplyResult {
	res := p.results[id]
	if first, found := p.reader.sm.recent.get(id); found && res.Record == "" {
		return ApplyResult{Offset: first.Offset, Record: id, Outcome: first.Outcome}
	}
	return res
}

func (p *Publisher) recordResult(_ galenastair.LogRecord, res ApplyResult) {
	// a duplicate of the record has no effect, so the first result counts
	if known, pending := p.results[res.Record]; pending && known.Record == "" {
		p.results[res.Record] = res
	}
}
