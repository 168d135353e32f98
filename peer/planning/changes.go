package planning

import (
	"time"

	"galenastair"
	"galenastair/peer/planningpb"
	"galenastair/planner"
	"galenastair/pool"
	"galenastair/registry"
)

func encodeChanges(cs []registry.Change) []*planningpb.Change {
	var out []*planningpb.Change
	for _, c := range cs {
		out = append(out, &planningpb.Change{
			Server:   string(c.ID),
			Gone:     c.Deleted,
			Fresh:    c.Created,
			Identity: encodeAttributes(c.Attributes),
			Beat:     c.Heartbeat,
			Added:    encodeModelNames(c.Added),
			Dropped:  encodeModelNames(c.Removed),
		})
	}
	return out
}

func encodeAttributes(s *pool.Server) *planningpb.Identity {
	if s == nil {
		return nil
	}
	out := &planningpb.Identity{
		Service: string(s.Service),
		Address: s.Address,
		Zone:    string(s.AvailabilityZone),
		Slots:   uint32(s.Slots),
		Leaving: s.Leaving,
		Born:    s.Incarnation,
		Version: string(s.Version),
		ColdMs:  max(0, time.Until(s.ColdUntil).Milliseconds()),
	}
	if !s.GoneAt.IsZero() {
		// 0 would mean that the server has not announced when it ends
		out.LeavesMs = max(1, time.Until(s.GoneAt).Milliseconds())
	}
	return out
}

func encodeModelNames(names []galenastair.ModelName) []string {
	var out []string
	for _, n := range names {
		out = append(out, string(n))
	}
	return out
}

// decodeChanges returns the changes in a message that was received just now.
func decodeChanges(cs []*planningpb.Change) []registry.Change {
	var out []registry.Change
	for _, c := range cs {
		id := galenastair.BackendServerID(c.Server)
		out = append(out, registry.Change{
			ID:         id,
			Deleted:    c.Gone,
			Created:    c.Fresh,
			Attributes: decodeAttributes(id, c),
			Heartbeat:  c.Beat,
			Added:      decodeModelNames(c.Added),
			Removed:    decodeModelNames(c.Dropped),
		})
	}
	return out
}

func decodeAttributes(id galenastair.BackendServerID, c *planningpb.Change) *pool.Server {
	i := c.Identity
	if i == nil {
		return nil
	}
	s := &pool.Server{
		ID:               id,
		Service:          galenastair.ServiceName(i.Service),
		Address:          i.Address,
		AvailabilityZone: galenastair.AvailabilityZone(i.Zone),
		Version:          galenastair.SoftwareVersion(i.Version),
		Slots:            int(i.Slots),
		Leaving:          i.Leaving,
		Incarnation:      i.Born,
		Heartbeat:        c.Beat,
	}
	if i.ColdMs > 0 {
		s.ColdUntil = time.Now().Add(time.Duration(i.ColdMs) * time.Millisecond)
	}
	if i.LeavesMs > 0 {
		s.GoneAt = time.Now().Add(time.Duration(i.LeavesMs) * time.Millisecond)
	}
	return s
}

// deductTransit makes the times at which servers end those that hold if the message was sent as long
// ago as the call that it answers has taken. A time that is too late would have requests cut off.
func deductTransit(tails []planner.Tail, call time.Duration) {
	for _, t := range tails {
		for _, c := range t.Changes {
			if a := c.Attributes; a != nil && !a.GoneAt.IsZero() {
				a.GoneAt = a.GoneAt.Add(-call)
			}
		}
	}
}

func decodeModelNames(names []string) []galenastair.ModelName {
	var out []galenastair.ModelName
	for _, n := range names {
		out = append(out, galenastair.ModelName(n))
	}
	return out
}
