package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"galenastair"
	"galenastair/control"
	"galenastair/dispatch"
	"galenastair/engine"
	"galenastair/httpclient"
	"galenastair/logservice"
	"galenastair/member"
	"galenastair/peer/demand"
	"galenastair/place"
	"galenastair/settings"
	"galenastair/timer"
)

// engines is the client of model engines, with what the settings say of them: an
// engine's own word on whether it checks fencing numbers is not trusted with memory.
type engines struct {
	*engine.Client
	checkFence map[string]bool
	names      func(address string) string
}

// Report asks an engine what it has loaded.
func (e engines) Report(ctx context.Context, server string) (galenastair.EngineReport, error) {
	r, err := e.Client.Report(ctx, server)
	r.ChecksFence = e.checkFence[e.names(server)]
	return r, err
}

func newEngines(s settings.Engines, names func(string) string) engines {
	e := engines{
		Client:     engine.New(engine.WithSilence(s.Progress)),
		checkFence: map[string]bool{},
		names:      names,
	}
	for _, id := range s.CheckFence {
		e.checkFence[string(id)] = true
	}
	return e
}

// engineName returns the listed engine at an address.
func (f *fleet) engineName(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.listed {
		if l.Role == galenastair.RoleEngine && l.Address == address {
			return l.ID
		}
	}
	return ""
}

func (e *Entry) newLeader(loop *control.Loop) *place.Leader {
	s := e.settings
	planner := place.DefaultSettings()
	planner.LoadsPerSecond = s.WeightStore.LoadsPerSecond
	planner.LoadsInFlight = s.WeightStore.LoadsInFlight
	planner.AdaptersInFlight = s.WeightStore.AdapterLoadsInFlight
	return place.NewLeader(s.Instance.ID, s.Instance.Region, place.Ports{
		Engine: e.engine,
		Log:    e.log,
		Store:  logservice.New(s.Platform.WeightStoreAddress),
		Duty:   e.leads,
		Loop:   loop,
	}, place.WithLogger(e.logger), place.WithSettings(planner), place.WithOrdered(e.metrics.Ordered),
		place.WithRecords(func(now time.Time) bool { return e.members.Status().LogReach(now) == member.Reached }))
}

func (e *Entry) leads(now time.Time) (galenastair.Fence, bool) {
	s := e.members.Status()
	return s.Fence, s.Leads(now)
}

// tellDemand tells the leader what was asked of this instance.
func (e *Entry) tellDemand(ctx context.Context) error {
	client := &http.Client{Transport: httpclient.NewTransport()}
	for {
		s := e.members.Status()
		if !timer.Wait(ctx, demand.Period(len(s.View.Ring))) {
			return ctx.Err()
		}
		if err := e.tellLeader(ctx, client, e.dispatcher.Demand()); err != nil {
			e.logger.Log("event", "demand", "err", err)
		}
	}
}

func (e *Entry) tellLeader(ctx context.Context, client *http.Client, ds []dispatch.Demand) error {
	leader := e.members.Status().Leader
	self := e.settings.Instance.ID
	switch {
	case len(ds) == 0 || leader.ID == "":
		return nil
	case leader.ID == self:
		return e.leader.Demand(ctx, self, ds)
	default:
		return demand.Tell(ctx, client, leader.PeerAddress, self, ds)
	}
}

// modelNames lists the models of all contracts.
func (e *Entry) modelNames() []galenastair.ModelName {
	v := e.follower.View()
	if v == nil {
		return nil
	}
	var names []galenastair.ModelName
	for _, o := range v.Organisations() {
		if c, ok := v.Contract(o); ok {
			names = append(names, c.Models...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
