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

// engineClient is the client of model engines. Whether an engine checks fencing
// numbers is taken from the settings and not from its report, since a wrong report
// could lead to overcommitted memory.
type engineClient struct {
	*engine.Client
	checksFence map[string]bool
	nameOf      func(address string) string
}

// Report returns the report of an engine on what it has loaded.
func (e engineClient) Report(ctx context.Context, server string) (galenastair.EngineReport, error) {
	r, err := e.Client.Report(ctx, server)
	r.ChecksFence = e.checksFence[e.nameOf(server)]
	return r, err
}

func newEngineClient(s settings.Engines, names func(string) string) engineClient {
	e := engineClient{
		Client:      engine.New(engine.WithIdleTimeout(s.ProgressTimeout)),
		checksFence: map[string]bool{},
		nameOf:      names,
	}
	for _, id := range s.CheckFence {
		e.checksFence[string(id)] = true
	}
	return e
}

// engineName returns the ID of the listed engine at an address, or "" if there is none.
func (f *fleet) engineName(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.instances {
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
	return place.NewLeader(s.Instance.ID, s.Instance.Region, place.Dependencies{
		Engine:     e.engine,
		Log:        e.log,
		Store:      logservice.New(s.Platform.WeightStoreAddress),
		Leadership: e.leadership,
		Loop:       loop,
	}, place.WithLogger(e.logger), place.WithSettings(planner), place.WithOrderObserver(e.metrics.OrderAccepted),
		place.WithLogReachable(func(now time.Time) bool { return e.members.Status().LogReachability(now) == member.LogReachable }))
}

func (e *Entry) leadership(now time.Time) (galenastair.Fence, bool) {
	s := e.members.Status()
	return s.Fence, s.Leads(now)
}

// reportDemand periodically reports the demand of this instance to the leader.
func (e *Entry) reportDemand(ctx context.Context) error {
	client := httpclient.NewPeerClient(httpclient.NewTransport())
	for {
		s := e.members.Status()
		if !timer.Wait(ctx, demand.Period(len(s.View.Ring))) {
			return ctx.Err()
		}
		if err := e.sendDemand(ctx, client, e.dispatcher.Demand()); err != nil {
			e.logger.Log("event", "demand", "err", err)
		}
	}
}

func (e *Entry) sendDemand(ctx context.Context, client *http.Client, ds []dispatch.Demand) error {
	leader := e.members.Status().Leader
	self := e.settings.Instance.ID
	switch {
	case len(ds) == 0 || leader.ID == "":
		return nil
	case leader.ID == self:
		return e.leader.RecordDemand(ctx, self, ds)
	default:
		return demand.Send(ctx, client, leader.PeerAddress, self, ds)
	}
}

// modelNames returns the models of all contracts, sorted and without duplicates.
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
