package report

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"galenastair"
	"galenastair/peer/reportpb"
)

// EngineUpdate is the update of one engine. State is nil unless it has changed recently.
type EngineUpdate struct {
	Engine  engineHash
	Age     time.Duration
	Running int
	Waiting int
	Digest  stateDigest
	State   *galenastair.EngineReport
}

// Message has updates, and the engines that were polled again without a significant
// change, with the highest age of their reports.
type Message struct {
	Updates      []EngineUpdate
	Unchanged    []engineHash
	UnchangedAge time.Duration
}

func (m Message) empty() bool { return len(m.Updates) == 0 && len(m.Unchanged) == 0 }

// engineHash identifies an engine by 4 bytes instead of its full ID.
type engineHash uint32

func hashEngine(id galenastair.BackendServerID) engineHash {
	return engineHash(xxhash.Sum64String(string(id)))
}

// stateDigest is a hash of the part of a report that rarely changes.
type stateDigest uint32

// maxFinishedOrders is the maximum number of finished orders in a state. Orders to one
// engine are seconds apart, so that these cover the last minutes.
const maxFinishedOrders = 8

// digestState returns the hash of a report's state without CacheUsed, which changes all the time.
func digestState(r galenastair.EngineReport) stateDigest {
	r.CacheUsed = 0
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(encodeState(r))
	if err != nil {
		return 0
	}
	return stateDigest(xxhash.Sum64(b))
}

func encodeState(r galenastair.EngineReport) *reportpb.State {
	s := &reportpb.State{
		MemoryTotal:  uint64(r.MemoryTotal),
		MemoryUsed:   uint64(r.MemoryUsed),
		CacheUsed:    uint64(r.CacheUsed),
		HighestFence: int64(r.HighestFence),
		ChecksFence:  r.ChecksFence,
	}
	finished := r.FinishedOrders
	for _, id := range finished[max(0, len(finished)-maxFinishedOrders):] {
		s.FinishedOrders = append(s.FinishedOrders, string(id))
	}
	for _, l := range r.Loaded {
		s.Loaded = append(s.Loaded, &reportpb.Loaded{
			Name:    string(l.Weight.Name),
			Version: l.Weight.Version,
			Base:    string(l.Weight.Base),
			Memory:  uint64(l.Weight.Memory),
			State:   string(l.State),
			Order:   string(l.Order),
		})
	}
	return s
}

func decodeState(s *reportpb.State) *galenastair.EngineReport {
	if s == nil {
		return nil
	}
	r := &galenastair.EngineReport{
		MemoryTotal:  galenastair.Bytes(s.MemoryTotal),
		MemoryUsed:   galenastair.Bytes(s.MemoryUsed),
		CacheUsed:    galenastair.Bytes(s.CacheUsed),
		HighestFence: galenastair.Fence(s.HighestFence),
		ChecksFence:  s.ChecksFence,
	}
	for _, id := range s.FinishedOrders {
		r.FinishedOrders = append(r.FinishedOrders, galenastair.OrderID(id))
	}
	for _, l := range s.Loaded {
		r.Loaded = append(r.Loaded, galenastair.LoadedWeights{
			Weight: galenastair.ModelWeights{
				Name:    galenastair.ModelName(l.Name),
				Version: l.Version,
				Base:    galenastair.ModelName(l.Base),
				Memory:  galenastair.Bytes(l.Memory),
			},
			State: galenastair.LoadState(l.State),
			Order: galenastair.OrderID(l.Order),
		})
	}
	return r
}

func encodeMessage(m Message) *reportpb.TellRequest {
	req := &reportpb.TellRequest{UnchangedAgeMilliseconds: uint32(m.UnchangedAge.Milliseconds())}
	for _, h := range m.Unchanged {
		req.Unchanged = append(req.Unchanged, uint32(h))
	}
	for _, u := range m.Updates {
		p := &reportpb.News{
			Engine:          uint32(u.Engine),
			AgeMilliseconds: uint32(u.Age.Milliseconds()),
			Running:         uint32(u.Running),
			Waiting:         uint32(u.Waiting),
			Digest:          uint32(u.Digest),
		}
		if u.State != nil {
			p.State = encodeState(*u.State)
		}
		req.News = append(req.News, p)
	}
	return req
}

func decodeMessage(req *reportpb.TellRequest) Message {
	m := Message{UnchangedAge: time.Duration(req.UnchangedAgeMilliseconds) * time.Millisecond}
	for _, h := range req.Unchanged {
		m.Unchanged = append(m.Unchanged, engineHash(h))
	}
	for _, p := range req.News {
		m.Updates = append(m.Updates, EngineUpdate{
			Engine:  engineHash(p.Engine),
			Age:     time.Duration(p.AgeMilliseconds) * time.Millisecond,
			Running: int(p.Running),
			Waiting: int(p.Waiting),
			Digest:  stateDigest(p.Digest),
			State:   decodeState(p.State),
		})
	}
	return m
}
