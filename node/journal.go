package node

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/boottime"
	"galenastair/peer/planning"
	"galenastair/platform"
	"galenastair/stream"
	"galenastair/timer"
)

// streamJournal keeps in the store where the streams of this instance's region began, and reads it there
// once this instance is a recorder.
type streamJournal struct {
	*stream.Journal
	self     string
	table    *stream.Table
	outbox   *stream.Outbox
	versions *stream.VersionView
	store    galenastair.Store
	topic    galenastair.Topic
	// timeline returns the newest timeline of the store that this instance knows of.
	timeline  func() galenastair.Timeline
	fleetSize func() int
	logger    log.Logger
	// loaded is set while this instance is a recorder and has read the records in the store.
	loaded atomic.Bool
}

func (n *Node) newStreamJournal(o *streamOrigins) *streamJournal {
	return &streamJournal{
		Journal:   stream.NewJournal(fmt.Sprintf("%s/%d", o.self, o.incarnation), o.table),
		self:      o.self,
		table:     o.table,
		outbox:    o.outbox,
		versions:  o.versions,
		store:     n.store,
		topic:     platform.StreamTopic(n.settings.Region),
		timeline:  n.storeTimeline,
		fleetSize: o.fleetSize,
		logger:    n.logger,
	}
}

// run reads and writes the journal until the context is done.
func (j *streamJournal) run(ctx context.Context) error {
	wait := minFlushInterval
	for timer.Wait(ctx, wait) {
		wait = flushInterval(j.fleetSize())
		if err := j.step(ctx); err != nil {
			wait = streamRetryInterval
		}
	}
	return ctx.Err()
}

// step does what this instance has to do as a recorder. The leader names the same instance first for a
// region as long as it reports, and that one writes.
func (j *streamJournal) step(ctx context.Context) error {
	recorders := j.outbox.Named()
	if !slices.Contains(recorders, j.self) {
		j.loaded.Store(false)
		j.End()
		return nil
	}
	services := j.versions.List().Several()
	if len(services) == 0 {
		// the list may be older than streams of another version, unless it is fresh
		j.loaded.Store(j.loaded.Load() || j.versions.Fresh(boottime.Now()))
	}
	writes, timeline := recorders[0] == j.self, j.timeline()
	if !writes {
		j.End()
	}
	begins := writes && !j.Writes(timeline)
	if len(services) > 0 && (begins || !j.loaded.Load()) {
		segments, err := j.load(ctx)
		if err != nil {
			return err
		}
		j.loaded.Store(true)
		if begins {
			j.Begin(time.Now(), timeline, segments)
		}
	}
	j.SetServices(time.Now(), services)
	return j.write(ctx)
}

// load reads the records in the store, and returns its segments with the time until they expire.
func (j *streamJournal) load(ctx context.Context) (map[stream.SegmentKey]time.Duration, error) {
	b, err := j.store.Newest(ctx, j.topic)
	count, segments := 0, map[stream.SegmentKey]time.Duration{}
	for _, r := range b.Records {
		records, err := planning.UnmarshalStreams(r.Value)
		if err != nil {
			j.logger.Log("event", "stream journal", "key", r.Key, "err", err)
		}
		j.table.Add(time.Now(), records...)
		segments[stream.SegmentKey(r.Key)] = stream.Longest(records)
		count += len(records)
	}
	j.logger.Log("event", "stream journal", "call", "read", "segments", len(segments), "records", count, "err", err)
	return segments, err
}

// write writes what the store lacks.
func (j *streamJournal) write(ctx context.Context) error {
	for {
		w := j.Next(time.Now())
		if w.IsEmpty() {
			return nil
		}
		var records []galenastair.KeyedRecord
		for _, key := range w.Expired {
			records = append(records, galenastair.KeyedRecord{Key: string(key)})
		}
		if len(w.Records) > 0 {
			data, err := planning.MarshalStreams(w.Records)
			if err != nil {
				return err
			}
			records = append(records, galenastair.KeyedRecord{Key: string(w.Key), Value: data})
		}
		if _, err := j.store.PutAll(ctx, j.topic, records); err != nil {
			j.logger.Log("event", "stream journal", "call", "write", "records", len(w.Records), "expired", len(w.Expired), "err", err)
			return err
		}
		j.Written(time.Now(), w)
	}
}
