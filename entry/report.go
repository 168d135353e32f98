package entry

import (
	"context"
	"time"

	"galenastair"
	"galenastair/member"
	"galenastair/report"
	"galenastair/timer"
)

const (
	// eventsPeriod is how often cache events are read; they come late anyway.
	eventsPeriod = time.Second
	// eventsEngines is up to how many engines cache events are read at all. One
	// event takes some 60 bytes and every prompt makes several: at the target they
	// alone would be over the 6 KB/s of a node, and an entry's own sends tell most
	// of what they do.
	eventsEngines = 30
	// eventsTimeout keeps a frozen engine from holding up the others for long.
	eventsTimeout = 500 * time.Millisecond
)

// reportSlot is the slot of an engine's reader in the ranking of members.
const reportSlot = 0

func readerKey(id galenastair.BackendServerID) string { return "report:" + string(id) }

// reportDuties tells which member reads which engine.
type reportDuties struct{ s *member.Status }

// Self returns this instance.
func (d reportDuties) Self() galenastair.Peer { return peerOf(d.s.Self) }

// Members lists all instances of the present epoch.
func (d reportDuties) Members() []galenastair.Peer {
	peers := make([]galenastair.Peer, len(d.s.View.Ring))
	for i, m := range d.s.View.Ring {
		peers[i] = peerOf(m)
	}
	return peers
}

// Epoch returns the present epoch.
func (d reportDuties) Epoch() galenastair.Epoch { return d.s.View.Epoch }

// Reader returns the member that reads an engine.
func (d reportDuties) Reader(id galenastair.BackendServerID) (galenastair.Peer, bool) {
	m, ok := d.s.Owner(readerKey(id), reportSlot)
	return peerOf(m), ok
}

func (e *Entry) newReporter() *report.Reporter {
	return report.New(report.Ports{
		Engine:  e.engine,
		Duties:  func() report.Duties { return reportDuties{e.members.Status()} },
		Servers: e.fleet.engines,
		Deliver: e.deliver,
	}, report.WithLogger(e.logger), report.WithShortest(e.settings.Engines.ReportPeriod))
}

// deliver hands a report to all that decide by it.
func (e *Entry) deliver(r galenastair.EngineReport) {
	e.fleet.report(r, time.Now())
	e.dispatcher.Report(r)
	// the loop has ended if it refuses, and the instance with it
	_ = e.leader.Report(context.Background(), r)
}

// engines lists the engines as the reporter needs them.
func (f *fleet) engines() []report.Server {
	listed := f.role(galenastair.RoleEngine)
	out := make([]report.Server, len(listed))
	for i, l := range listed {
		out[i] = report.Server{ID: galenastair.BackendServerID(l.ID), Address: l.Address}
	}
	return out
}

// followCacheEvents reads the cache events of the engines whose reader this is,
// and tells the leader which engines this instance finds slow.
func (e *Entry) followCacheEvents(ctx context.Context) error {
	after := map[galenastair.BackendServerID]int64{}
	for timer.Wait(ctx, eventsPeriod) {
		_ = e.leader.SetSlow(ctx, e.dispatcher.Slow())
		servers := e.fleet.engines()
		if len(servers) > eventsEngines {
			continue
		}
		duties := reportDuties{e.members.Status()}
		for _, s := range servers {
			if reader, ok := duties.Reader(s.ID); ok && reader.ID == e.settings.Instance.ID {
				after[s.ID] = e.readCacheEvents(ctx, s, after[s.ID])
			}
		}
	}
	return ctx.Err()
}

// readCacheEvents returns the sequence number to go on from. An engine that does
// not answer may have died, and a new process counts from the start.
func (e *Entry) readCacheEvents(ctx context.Context, s report.Server, after int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	events, err := e.engine.CacheEvents(ctx, s.Address, after)
	if err != nil {
		return 0
	}
	e.dispatcher.CacheEvents(s.ID, events)
	for _, ev := range events {
		after = max(after, ev.Sequence)
	}
	return after
}
