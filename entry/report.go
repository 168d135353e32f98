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
	// cacheEventsPeriod is the interval at which cache events are read. The events
	// arrive with a delay anyway, so a shorter interval would gain little.
	cacheEventsPeriod = time.Second
	// cacheEventsMaxEngines is the fleet size above which cache events are not read. An
	// event takes about 60 bytes and every prompt causes several, so that at the target
	// scale they alone would exceed the 6 KB/s of a node. An instance can derive most
	// of them from the requests that it sends itself.
	cacheEventsMaxEngines = 30
	// cacheEventsTimeout limits how long an unresponsive engine delays the reads from
	// the others.
	cacheEventsTimeout = 500 * time.Millisecond
)

// reportPollerSlot is the slot of the poller in the ranking of members for an engine.
const reportPollerSlot = 0

func reportKey(id galenastair.BackendServerID) string { return "report:" + string(id) }

// reportAssignment tells the reporter which member polls which engine.
type reportAssignment struct{ s *member.Status }

// Self returns this instance.
func (d reportAssignment) Self() galenastair.Peer { return peerOf(d.s.Self) }

// Members returns all members of the current epoch.
func (d reportAssignment) Members() []galenastair.Peer {
	peers := make([]galenastair.Peer, len(d.s.View.Ring))
	for i, m := range d.s.View.Ring {
		peers[i] = peerOf(m)
	}
	return peers
}

// Epoch returns the current epoch.
func (d reportAssignment) Epoch() galenastair.Epoch { return d.s.View.Epoch }

// Poller returns the member that polls an engine.
func (d reportAssignment) Poller(id galenastair.BackendServerID) (galenastair.Peer, bool) {
	m, ok := d.s.Owner(reportKey(id), reportPollerSlot)
	return peerOf(m), ok
}

func (e *Entry) newReporter() *report.Reporter {
	return report.New(report.Dependencies{
		Engine:     e.engine,
		Assignment: func() report.Assignment { return reportAssignment{e.members.Status()} },
		Servers:    e.fleet.engineServers,
		Deliver:    e.handleReport,
	}, report.WithLogger(e.logger), report.WithMinInterval(e.settings.Engines.ReportPeriod))
}

// handleReport passes an engine's report to the status page, the dispatcher and the leader.
func (e *Entry) handleReport(r galenastair.EngineReport) {
	e.fleet.setReport(r, time.Now())
	e.dispatcher.ApplyReport(r)
	// An error means that the control loop, and thus the instance, has stopped.
	_ = e.leader.ApplyReport(context.Background(), r)
}

// engineServers returns the listed engines.
func (f *fleet) engineServers() []report.Server {
	listed := f.withRole(galenastair.RoleEngine)
	out := make([]report.Server, len(listed))
	for i, l := range listed {
		out[i] = report.Server{ID: galenastair.BackendServerID(l.ID), Address: l.Address}
	}
	return out
}

// pollCacheEvents periodically reads the cache events of the engines that are assigned
// to this instance, and reports unhealthy engines to the leader.
func (e *Entry) pollCacheEvents(ctx context.Context) error {
	after := map[galenastair.BackendServerID]int64{}
	for timer.Wait(ctx, cacheEventsPeriod) {
		_ = e.leader.SetUnhealthy(ctx, e.dispatcher.Unhealthy())
		servers := e.fleet.engineServers()
		if len(servers) > cacheEventsMaxEngines {
			continue
		}
		assignment := reportAssignment{e.members.Status()}
		for _, s := range servers {
			if poller, ok := assignment.Poller(s.ID); ok && poller.ID == e.settings.Instance.ID {
				after[s.ID] = e.fetchCacheEvents(ctx, s, after[s.ID])
			}
		}
	}
	return ctx.Err()
}

// fetchCacheEvents reads the cache events after a sequence number and returns the number
// to continue from. That is 0 if the engine does not respond, because it may have been
// restarted, and a new process numbers its events from the start.
func (e *Entry) fetchCacheEvents(ctx context.Context, s report.Server, after int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, cacheEventsTimeout)
	defer cancel()
	events, err := e.engine.CacheEvents(ctx, s.Address, after)
	if err != nil {
		return 0
	}
	e.dispatcher.ApplyCacheEvents(s.ID, events)
	for _, ev := range events {
		after = max(after, ev.Sequence)
	}
	return after
}
