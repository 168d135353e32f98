package report

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"galenastair"
	"galenastair/peer/reportpb"
)

// News is what is told of one engine; State is nil unless it changed of late.
type News struct {
	Engine  engineHash
	Age     time.Duration
	Running int
	Waiting int
	Digest  stateDigest
	State   *galenastair.EngineReport
}

// Told is one message: news, and the engines that were read again and showed
// nothing worth it, with the oldest age of their figures.
type Told struct {
	News         []News
	Unchanged    []engineHash
	UnchangedAge time.Duration
}

func (t Told) empty() bool { return len(t.News) == 0 && len(t.Unchanged) == 0 }

// engineHash names an engine in 4 bytes in place of its id.
type engineHash uint32

func hashEngine(id galenastair.BackendServerID) engineHash {
	return engineHash(xxhash.Sum64String(string(id)))
}

// stateDigest names the part of a report that rarely changes.
type stateDigest uint32

// toldOrders is how many finished orders a state names; orders to one engine
// come seconds apart, so that these reach back minutes.
const toldOrders = 8

// digest leaves out the cache, which changes all the time.
func digest(r galenastair.EngineReport) stateDigest {
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
	finished := r.FinishedOrder
	for _, id := range finished[max(0, len(finished)-toldOrders):] {
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
		r.FinishedOrder = append(r.FinishedOrder, galenastair.OrderID(id))
	}
	for _, l := range s.Loaded {
		r.Loaded = append(r.Loaded, galenastair.LoadedWeight{
			Weight: galenastair.Weight{
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

func encode(t Told) *reportpb.TellRequest {
	req := &reportpb.TellRequest{UnchangedAgeMilliseconds: uint32(t.UnchangedAge.Milliseconds())}
	for _, h := range t.Unchanged {
		req.Unchanged = append(req.Unchanged, uint32(h))
	}
	for _, n := range t.News {
		p := &reportpb.News{
			Engine:          uint32(n.Engine),
			AgeMilliseconds: uint32(n.Age.Milliseconds()),
			Running:         uint32(n.Running),
			Waiting:         uint32(n.Waiting),
			Digest:          uint32(n.Digest),
		}
		if n.State != nil {
			p.State = encodeState(*n.State)
		}
		req.News = append(req.News, p)
	}
	return req
}

func decode(req *reportpb.TellRequest) Told {
	t := Told{UnchangedAge: time.Duration(req.UnchangedAgeMilliseconds) * time.Millisecond}
	for _, h := range req.Unchanged {
		t.Unchanged = append(t.Unchanged, engineHash(h))
	}
	for _, p := range req.News {
		t.News = append(t.News, News{
			Engine:  engineHash(p.Engine),
			Age:     time.Duration(p.AgeMilliseconds) * time.Millisecond,
			Running: int(p.Running),
			Waiting: int(p.Waiting),
			Digest:  stateDigest(p.Digest),
			State:   decodeState(p.State),
		})
	}
	return t
}
