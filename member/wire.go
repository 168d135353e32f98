package member

import (
	"time"

	"galenastair"
	"galenastair/peer/memberpb"
)

// encodeHeartbeat rounds LeaseRemaining up to the next millisecond, so that the watcher does not wait too briefly.
func encodeHeartbeat(b Heartbeat) *memberpb.HeartbeatRequest {
	return &memberpb.HeartbeatRequest{
		From: int64(b.From), To: int64(b.To), Number: b.Sequence, Watch: int64(b.WatchEpoch),
		WantMs: b.Requested.Milliseconds(), ClaimMs: b.LeaseRemaining.Milliseconds() + 1,
	}
}

func decodeHeartbeat(r *memberpb.HeartbeatRequest) Heartbeat {
	return Heartbeat{
		From: Incarnation(r.GetFrom()), To: Incarnation(r.GetTo()), Sequence: r.GetNumber(), WatchEpoch: galenastair.Epoch(r.GetWatch()),
		Requested: time.Duration(r.GetWantMs()) * time.Millisecond, LeaseRemaining: time.Duration(r.GetClaimMs()) * time.Millisecond,
	}
}

// encodeHandover rounds Remaining up to the next millisecond, so that the next watcher does not wait too briefly.
func encodeHandover(h Handover) *memberpb.Handover {
	if h.Watched == 0 {
		return nil
	}
	return &memberpb.Handover{Watched: int64(h.Watched), Watch: int64(h.WatchEpoch), ForMs: h.Remaining.Milliseconds() + 1}
}

func decodeHandover(h *memberpb.Handover) Handover {
	return Handover{
		Watched: Incarnation(h.GetWatched()), WatchEpoch: galenastair.Epoch(h.GetWatch()),
		Remaining: time.Duration(h.GetForMs()) * time.Millisecond,
	}
}

func encodeGossip(n Gossip) *memberpb.News {
	out := &memberpb.News{
		From: int64(n.From), Folded: int64(n.Applied), All: int64(n.AppliedByAll),
		Configuration: int64(n.Configuration),
	}
	if n.LogAge >= 0 {
		out.LogAgeMs = n.LogAge.Milliseconds() + 1
	}
	for _, w := range n.Acks {
		out.Words = append(out.Words, &memberpb.Word{Incarnation: int64(w.Incarnation), Folded: int64(w.Epoch)})
	}
	for _, r := range n.Refused {
		out.Refused = append(out.Refused, &memberpb.Refused{Digest: r.Digest, ForMs: r.Remaining.Milliseconds()})
	}
	return out
}

func decodeGossip(n *memberpb.News) Gossip {
	out := Gossip{
		From: Incarnation(n.GetFrom()), Applied: galenastair.Epoch(n.GetFolded()), AppliedByAll: galenastair.Epoch(n.GetAll()),
		Configuration: galenastair.Offset(n.GetConfiguration()),
		LogAge:        time.Duration(n.GetLogAgeMs()-1) * time.Millisecond,
	}
	if n.GetLogAgeMs() == 0 {
		out.LogAge = -1
	}
	for _, w := range n.GetWords() {
		out.Acks = append(out.Acks, Ack{Incarnation(w.GetIncarnation()), galenastair.Epoch(w.GetFolded())})
	}
	for _, r := range n.GetRefused() {
		out.Refused = append(out.Refused, RefusedDigest{r.GetDigest(), time.Duration(r.GetForMs()) * time.Millisecond})
	}
	return out
}
