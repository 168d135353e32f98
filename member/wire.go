package member

import (
	"time"

	"galenastair"
	"galenastair/peer/memberpb"
)

// encodeHeartbeat rounds the claim up, so that the watcher never waits too short.
func encodeHeartbeat(b Heartbeat) *memberpb.HeartbeatRequest {
	return &memberpb.HeartbeatRequest{
		From: int64(b.From), To: int64(b.To), Number: b.Number, Watch: int64(b.Watch),
		WantMs: b.Want.Milliseconds(), ClaimMs: b.Claim.Milliseconds() + 1,
	}
}

func decodeHeartbeat(r *memberpb.HeartbeatRequest) Heartbeat {
	return Heartbeat{
		From: Incarnation(r.GetFrom()), To: Incarnation(r.GetTo()), Number: r.GetNumber(), Watch: galenastair.Epoch(r.GetWatch()),
		Want: time.Duration(r.GetWantMs()) * time.Millisecond, Claim: time.Duration(r.GetClaimMs()) * time.Millisecond,
	}
}

// encodeHandover rounds the time up, so that the next watcher never waits too short.
func encodeHandover(h Handover) *memberpb.Handover {
	if h.Watched == 0 {
		return nil
	}
	return &memberpb.Handover{Watched: int64(h.Watched), Watch: int64(h.Watch), ForMs: h.For.Milliseconds() + 1}
}

func decodeHandover(h *memberpb.Handover) Handover {
	return Handover{
		Watched: Incarnation(h.GetWatched()), Watch: galenastair.Epoch(h.GetWatch()),
		For: time.Duration(h.GetForMs()) * time.Millisecond,
	}
}

func encodeNews(n News) *memberpb.News {
	out := &memberpb.News{
		From: int64(n.From), Folded: int64(n.Folded), All: int64(n.All),
		Configuration: int64(n.Configuration),
	}
	if n.LogAge >= 0 {
		out.LogAgeMs = n.LogAge.Milliseconds() + 1
	}
	for _, w := range n.Words {
		out.Words = append(out.Words, &memberpb.Word{Incarnation: int64(w.Incarnation), Folded: int64(w.Folded)})
	}
	for _, r := range n.Refused {
		out.Refused = append(out.Refused, &memberpb.Refused{Digest: r.Digest, ForMs: r.For.Milliseconds()})
	}
	return out
}

func decodeNews(n *memberpb.News) News {
	out := News{
		From: Incarnation(n.GetFrom()), Folded: galenastair.Epoch(n.GetFolded()), All: galenastair.Epoch(n.GetAll()),
		Configuration: galenastair.Offset(n.GetConfiguration()),
		LogAge:        time.Duration(n.GetLogAgeMs()-1) * time.Millisecond,
	}
	if n.GetLogAgeMs() == 0 {
		out.LogAge = -1
	}
	for _, w := range n.GetWords() {
		out.Words = append(out.Words, Word{Incarnation(w.GetIncarnation()), galenastair.Epoch(w.GetFolded())})
	}
	for _, r := range n.GetRefused() {
		out.Refused = append(out.Refused, RefusedDigest{r.GetDigest(), time.Duration(r.GetForMs()) * time.Millisecond})
	}
	return out
}
