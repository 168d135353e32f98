package entry

import (
	"context"
	"sync"
	"time"

	"galenastair"
	"galenastair/dispatch"
)

// fleet caches the platform's instance list and the latest report of each engine.
type fleet struct {
	mu        sync.Mutex
	instances []galenastair.ListedInstance
	reports   map[galenastair.BackendServerID]receivedReport
}

type receivedReport struct {
	report     galenastair.EngineReport
	receivedAt time.Time
}

func (f *fleet) setInstances(listed []galenastair.ListedInstance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = listed
}

func (f *fleet) withRole(r galenastair.Role) []galenastair.ListedInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []galenastair.ListedInstance
	for _, l := range f.instances {
		if l.Role == r {
			out = append(out, l)
		}
	}
	return out
}

// entryCount returns the number of listed entry instances, which includes this one. It
// is at least 1.
func (f *fleet) entryCount() int { return max(len(f.withRole(galenastair.RoleEntry)), 1) }

func (f *fleet) setReport(r galenastair.EngineReport, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reports == nil {
		f.reports = map[galenastair.BackendServerID]receivedReport{}
	}
	f.reports[r.BackendServer] = receivedReport{r, at}
}

func (f *fleet) snapshot() ([]galenastair.ListedInstance, map[galenastair.BackendServerID]receivedReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reports := make(map[galenastair.BackendServerID]receivedReport, len(f.reports))
	for id, r := range f.reports {
		reports[id] = r
	}
	return f.instances, reports
}

// watchInstances polls the platform's instance list. The last list is kept while the
// platform is unavailable: backend servers rarely change in that time, and one that
// has crashed is taken out of rotation because it stops responding.
func (e *Entry) watchInstances(ctx context.Context) error {
	tick := time.NewTicker(e.settings.Platform.ListPeriod)
	defer tick.Stop()
	for {
		e.refreshInstances(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *Entry) refreshInstances(ctx context.Context) {
	listed, err := e.instanceList.List(ctx)
	if err != nil {
		e.logger.Log("event", "list", "err", err)
		return
	}
	e.fleet.setInstances(listed)
	var servers []dispatch.Server
	for _, l := range e.fleet.withRole(galenastair.RoleEngine) {
		servers = append(servers, dispatch.Server{
			ID:               galenastair.BackendServerID(l.ID),
			Address:          l.Address,
			AvailabilityZone: l.AvailabilityZone,
			Leaving:          l.Leaving,
		})
	}
	e.dispatcher.SetServers(servers)
	if err := e.leader.SetServers(ctx, servers); err != nil {
		return
	}
	e.services.Set(e.fleet.withRole(galenastair.RoleService))
}
