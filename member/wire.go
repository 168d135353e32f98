package member

import (
	"time"

	"galenastair"
	"galenastair/peer/memberpb"
)

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
