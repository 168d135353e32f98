package entry

import (
	"time"

	"galenastair"
	"galenastair/member"
	"galenastair/operator"
)

// Ready returns nil if the instance accepts requests, or the reason why it does not.
func (e *Entry) Ready() error {
	switch {
	case e.shutdown.started():
		return galenastair.ErrStopping
	case !e.follower.Ready():
		return galenastair.ErrNoConfiguration
	case !e.HoldsLease(time.Now()):
		return galenastair.ErrNotMember
	default:
		return nil
	}
}

// Status returns the content of /status.
func (e *Entry) Status() operator.Status {
	now := time.Now()
	in := e.settings.Instance
	s := operator.Status{
		Instance:         in.ID,
		Region:           in.Region,
		AvailabilityZone: in.AvailabilityZone,
		HoldsLease:       e.HoldsLease(now),
		LogContact:       now.Sub(e.follower.LogContact()),
		Requests:         e.server.Active().Len(),
		BackendServers:   e.backendServers(now),
	}
	s.ConfigurationOffset = e.configurationOffset()
	addMembers(&s, e.members.Status())
	if err := e.Ready(); err != nil {
		s.NotReady = err.Error()
	} else {
		s.Ready = true
	}
	return s
}

func addMembers(s *operator.Status, m *member.Status) {
	s.Epoch, s.Leader, s.Fence = m.View.Epoch, m.Leader.ID, m.Fence
	for _, in := range m.View.Ring {
		s.Members = append(s.Members, operator.MemberStatus{Instance: in.ID, AvailabilityZone: in.AvailabilityZone, PeerAddress: in.PeerAddress})
	}
}

func (e *Entry) backendServers(now time.Time) []operator.BackendServerStatus {
	listed, reports := e.fleet.snapshot()
	var out []operator.BackendServerStatus
	for _, l := range listed {
		if l.Role == galenastair.RoleEntry {
			continue
		}
		b := operator.BackendServerStatus{
			BackendServer:    galenastair.BackendServerID(l.ID),
			Role:             l.Role,
			Address:          l.Address,
			AvailabilityZone: l.AvailabilityZone,
			Leaving:          l.Leaving,
			Service:          l.Service,
		}
		if r, ok := reports[b.BackendServer]; ok {
			addReport(&b, r, now)
		}
		out = append(out, b)
	}
	return out
}

func addReport(b *operator.BackendServerStatus, r receivedReport, now time.Time) {
	b.MemoryTotal, b.MemoryUsed = r.report.MemoryTotal, r.report.MemoryUsed
	b.Running, b.Waiting = r.report.Running, r.report.Waiting
	b.ReportAge = r.report.Age + now.Sub(r.receivedAt)
	for _, l := range r.report.Loaded {
		switch l.State {
		case galenastair.LoadStateReady:
			b.Ready = append(b.Ready, l.Weight.Name)
		case galenastair.LoadStateLoading:
			b.Loading = append(b.Loading, l.Weight.Name)
		}
	}
}
