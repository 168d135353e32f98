package entry

import (
	"context"
	"sync"
	"time"

	"galenastair"
	"galenastair/dispatch"
)

// fleet is what the platform's list and the engines' reports last said.
type fleet struct {
	mu      sync.Mutex
	listed  []galenastair.ListedInstance
	reports map[galenastair.BackendServerID]reported
}

type reported struct {
	report galenastair.EngineReport
	at     time.Time
}

func (f *fleet) set(listed []galenastair.ListedInstance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = listed
}

func (f *fleet) role(r galenastair.Role) []galenastair.ListedInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []galenastair.ListedInstance
	for _, l := range f.listed {
		if l.Role == r {
			out = append(out, l)
		}
	}
	return out
}

// entries counts the listed entry instances, this one included.
func (f *fleet) entries() int { return max(len(f.role(galenastair.RoleEntry)), 1) }

func (f *fleet) report(r galenastair.EngineReport, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reports == nil {
		f.reports = map[galenastair.BackendServerID]reported{}
	}
	f.reports[r.BackendServer] = reported{r, at}
}

func (f *fleet) snapshot() ([]galenastair.ListedInstance, map[galenastair.BackendServerID]reported) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reports := make(map[galenastair.BackendServerID]reported, len(f.reports))
	for id, r := range f.reports {
		reports[id] = r
	}
	return f.listed, reports
}

// followList reads the platform's list each period. While the platform is down
// the last list stands: backend servers rarely change in that time, and one that
// has died is taken out by its own silence.
func (e *Entry) followList(ctx context.Context) error {
	tick := time.NewTicker(e.settings.Platform.ListPeriod)
	defer tick.Stop()
	for {
		e.readList(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *Entry) readList(ctx context.Context) {
	listed, err := e.list.List(ctx)
	if err != nil {
		e.logger.Log("event", "list", "err", err)
		return
	}
	e.fleet.set(listed)
	var servers []dispatch.Server
	for _, l := range e.fleet.role(galenastair.RoleEngine) {
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
	e.services.Set(e.fleet.role(galenastair.RoleService))
}
