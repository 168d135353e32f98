package node

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"galenastair"
	"galenastair/boottime"
	"galenastair/peer/planning"
	"galenastair/stream"
	"galenastair/timer"
)

// The time between two messages to a recorder is flushTimePerInstance for each instance of the fleet,
// within these bounds, so that a recorder gets few messages. While a service has one software version, it
// is known without a record where its streams began.
const (
	flushTimePerInstance = 20 * time.Millisecond
	minFlushInterval     = 200 * time.Millisecond
	maxFlushInterval     = time.Second
)

// streamRetryInterval is the time until the journal is read or written again after a failed call.
const streamRetryInterval = time.Second

// maxRecordWait bounds how long the first event of a stream waits until a recorder knows where the stream
// began. It is well above a round trip within a region.
const maxRecordWait = 100 * time.Millisecond

// streamOrigins knows where streams began: those of this instance, and those that others have had it
// record.
type streamOrigins struct {
	self        string
	incarnation stream.Incarnation
	table       *stream.Table
	outbox      *stream.Outbox
	journal     *streamJournal
	// otherRecorders are those of other regions, while a service has several software versions.
	otherRecorders atomic.Pointer[[]string]
	// outboxChanged is signalled when there may be something to send.
	outboxChanged chan struct{}
	client        *planning.Client
	versions      *stream.VersionView
	// stored returns the software versions that the store has.
	stored    func(context.Context) (stream.VersionList, error)
	fleetSize func() int
	// recordWait records how long a first event waited for its record, and whether a recorder had it then.
	recordWait func(d time.Duration, known bool)
	logger     log.Logger
}

func (n *Node) newStreamOrigins() *streamOrigins {
	s := &streamOrigins{
		self:          n.settings.PeerAddress,
		incarnation:   newStreamIncarnation(),
		table:         stream.NewTable(),
		outbox:        stream.NewOutbox(n.settings.PeerAddress),
		outboxChanged: make(chan struct{}, 1),
		client:        n.leaderClient.client,
		versions:      n.versions.view,
		stored:        n.versions.stored,
		fleetSize:     n.borrower.ReportedFleetSize,
		recordWait:    n.metrics.observeRecordWait,
		logger:        n.logger,
	}
	s.journal = n.newStreamJournal(s)
	return s
}

// Record keeps where a stream began, also at the recorders. While the service has several software versions,
// it returns once a recorder has the record, after maxRecordWait at the latest: a caller that has an event
// can resume its stream although this instance has ended.
func (s *streamOrigins) Record(ctx context.Context, id galenastair.RequestID, o stream.Origin, timeLeft time.Duration) {
	now := time.Now()
	r := stream.Record{Key: stream.KeyOf(id), Origin: o, TimeLeft: timeLeft}
	s.add(now, r)
	if len(s.versions.List()[o.Service]) < 2 {
		s.outbox.Add(now, r)
		s.notify()
		return
	}
	recorded := s.outbox.AddUrgent(now, r)
	s.notify()
	if recorded == nil {
		return
	}
	known := timer.WaitFor(ctx, recorded, maxRecordWait)
	s.recordWait(time.Since(now), known)
	if !known {
		s.logger.Log("event", "stream not recorded", "request", id, "service", o.Service, "server_version", o.Version)
	}
}

// notify has run look at the outbox.
func (s *streamOrigins) notify() {
	select {
	case s.outboxChanged <- struct{}{}:
	default:
	}
}

// RecordStreams keeps where other instances' streams began.
func (s *streamOrigins) RecordStreams(records []stream.Record) stream.Incarnation {
	s.add(time.Now(), records...)
	return s.incarnation
}

func (s *streamOrigins) add(now time.Time, records ...stream.Record) {
	s.table.Add(now, records...)
	s.journal.Add(now, records...)
}

// StreamOrigin returns what this instance knows of a stream.
func (s *streamOrigins) StreamOrigin(k stream.Key, service galenastair.ServiceName) stream.Answer {
	a := stream.Answer{Versions: s.versions.List().Versions(service), Fresh: s.versions.Fresh(boottime.Now())}
	a.Loaded = s.journal.loaded.Load()
	a.Origin, a.Known = s.table.Find(time.Now(), k)
	return a
}

// MayBegin implements gateway.Streams.
func (s *streamOrigins) MayBegin(service galenastair.ServiceName, v galenastair.SoftwareVersion) bool {
	return s.versions.MayBegin(service, v)
}

// VersionsChanged implements gateway.Streams.
func (s *streamOrigins) VersionsChanged() <-chan struct{} { return s.versions.Changed() }

const (
	// maxOriginWait bounds how long a caller waits until it is known where its stream began. In this time
	// an instance that has just started learns of its leader and recorders.
	maxOriginWait = time.Second
	// originRetryInterval is the time between two tries.
	originRetryInterval = 200 * time.Millisecond
)

// Origin returns where a stream began. It waits for a limited time while the instances that know it may
// not have been asked.
func (s *streamOrigins) Origin(ctx context.Context, id galenastair.RequestID, service galenastair.ServiceName) (stream.Origin, error) {
	own := s.StreamOrigin(stream.KeyOf(id), service)
	if own.Known {
		return own.Origin, nil
	}
	wait := maxOriginWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)/4)
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		origin, err := s.resolve(ctx, id, service)
		if !errors.Is(err, stream.ErrPending) || !timer.Wait(waitCtx, originRetryInterval) {
			s.logger.Log("event", "stream origin", "resumes", id, "service", origin.Service, "server_version", origin.Version, "err", err)
			return origin, err
		}
	}
}

// resolve asks the recorders, and the store if the leader's list of versions is too old.
func (s *streamOrigins) resolve(ctx context.Context, id galenastair.RequestID, service galenastair.ServiceName) (stream.Origin, error) {
	answers, complete := []stream.Answer{s.StreamOrigin(stream.KeyOf(id), service)}, true
	if id != "" {
		var others []stream.Answer
		others, complete = s.askRecorders(ctx, stream.KeyOf(id), service)
		answers = append(answers, others...)
	}
	origin, err := stream.Resolve(service, answers, complete)
	othersComplete := true
	if err != nil && id != "" {
		var others []stream.Answer
		others, othersComplete = s.askOtherRegions(ctx, stream.KeyOf(id), service)
		answers = append(answers, others...)
		origin, err = stream.Resolve(service, answers, complete)
	}
	if err != nil && complete && !stream.Fresh(answers) {
		answers = append(answers, s.storedVersions(ctx, service))
		origin, err = stream.Resolve(service, answers, complete)
	}
	if errors.Is(err, stream.ErrUnknown) && !othersComplete {
		err = stream.ErrPending
	}
	return origin, err
}

// storedVersions returns what the store tells of a stream: the versions that its service has had.
func (s *streamOrigins) storedVersions(ctx context.Context, service galenastair.ServiceName) stream.Answer {
	list, err := s.stored(ctx)
	if err != nil {
		s.logger.Log("event", "stream origin", "service", service, "err", err)
		return stream.Answer{}
	}
	return stream.Answer{Versions: list.Versions(service), Fresh: true}
}

// askRecorders asks the recorders of this region.
func (s *streamOrigins) askRecorders(ctx context.Context, k stream.Key, service galenastair.ServiceName) ([]stream.Answer, bool) {
	recorders, named := s.outbox.Recorders()
	answers, complete := s.ask(ctx, recorders, k, service)
	return answers, complete && named
}

// askOtherRegions asks recorders of other regions. Those that have not read the store yet count as missing.
// Loaded is cleared in the answers, as another region's store topic tells nothing of this region's streams.
func (s *streamOrigins) askOtherRegions(ctx context.Context, k stream.Key, service galenastair.ServiceName) ([]stream.Answer, bool) {
	recorders := s.otherRecorders.Load()
	if recorders == nil {
		return nil, true
	}
	answers, complete := s.ask(ctx, *recorders, k, service)
	for i := range answers {
		complete = complete && answers[i].Loaded
		answers[i].Loaded = false
	}
	return answers, complete
}

// ask asks other instances, and reports whether all have answered. It returns as soon as one of them knows
// the stream.
func (s *streamOrigins) ask(ctx context.Context, instances []string, k stream.Key, service galenastair.ServiceName) ([]stream.Answer, bool) {
	instances = slices.DeleteFunc(slices.Clone(instances), func(address string) bool { return address == s.self })
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan *stream.Answer, len(instances))
	for _, address := range instances {
		go func() {
			a, err := s.client.StreamOrigin(ctx, address, k, service)
			if err != nil {
				results <- nil
				return
			}
			results <- &a
		}()
	}
	var answers []stream.Answer
	complete := true
	for range instances {
		a := <-results
		if a == nil {
			complete = false
			continue
		}
		answers = append(answers, *a)
		if a.Known {
			return answers, complete
		}
	}
	return answers, complete
}

// run sends the records of this instance's streams to the recorders until the context is done.
func (s *streamOrigins) run(ctx context.Context) error {
	var sends errgroup.Group
	for ctx.Err() == nil {
		batches, wait := s.outbox.Send(time.Now(), flushInterval(s.fleetSize()))
		for address, b := range batches {
			sends.Go(func() error {
				s.send(ctx, address, b)
				return nil
			})
		}
		timer.WaitFor(ctx, s.outboxChanged, wait)
	}
	_ = sends.Wait()
	return ctx.Err()
}

// send sends a batch to a recorder.
func (s *streamOrigins) send(ctx context.Context, address string, b stream.Batch) {
	defer s.notify()
	process, err := s.client.RecordStreams(ctx, address, b.Records)
	if err != nil {
		s.outbox.Fail(address)
		return
	}
	s.outbox.Confirm(address, b, process)
}

func flushInterval(fleetSize int) time.Duration {
	return min(maxFlushInterval, max(minFlushInterval, time.Duration(fleetSize)*flushTimePerInstance))
}

// newStreamIncarnation returns a number that differs between the processes of an instance.
func newStreamIncarnation() stream.Incarnation { return stream.Incarnation(time.Now().UnixNano()) }
