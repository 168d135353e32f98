package planning

import (
	"time"

	"galenastair"
	"galenastair/peer/planningpb"
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
	return &planningpb.Identity{
		Service: string(s.Service),
		Address: s.Address,
		Zone:    string(s.AvailabilityZone),
		Slots:   uint32(s.Slots),
		Leaving: s.Leaving,
		Born:    s.Incarnation,
		Version: string(s.Version),
		ColdMs:  max(0, time.Until(s.ColdUntil).Milliseconds()),
	}
}

func encodeModelNames(names []galenastair.ModelName) []string {
	var out []string
	for _, n := range names {
		out = append(out, string(n))
	}
	return out
}

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
	return s
}

func decodeModelNames(names []string) []galenastair.ModelName {
	var out []galenastair.ModelName
	for _, n := range names {
		out = append(out, galenastair.ModelName(n))
	}
	return out
}
