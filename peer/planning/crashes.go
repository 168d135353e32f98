package planning

import (
	"time"

	"galenastair/claim"
	"galenastair/peer/planningpb"
)

// encodeCrashes returns the digests and, in the same order, the servers.
func encodeCrashes(crashes []claim.Crash) (digests, servers []string) {
	for _, c := range crashes {
		digests, servers = append(digests, string(c.Digest)), append(servers, string(c.Server))
	}
	return digests, servers
}

// decodeCrashes is the inverse of encodeCrashes. An instance of an older version sends no servers.
func decodeCrashes(digests, servers []string) []claim.Crash {
	var out []claim.Crash
	for i, d := range digests {
		c := claim.Crash{Digest: claim.Digest(d)}
		if i < len(servers) {
			c.Server = claim.ServerProcess(servers[i])
		}
		out = append(out, c)
	}
	return out
}

func encodePartEvents(now time.Time, events []claim.PartEvent) []*planningpb.PartEvent {
	var out []*planningpb.PartEvent
	for _, e := range events {
		out = append(out, &planningpb.PartEvent{Part: uint64(e.Part), Server: string(e.Server), AgeMs: uint32(max(0, now.Sub(e.At)).Milliseconds())})
	}
	return out
}

func decodePartEvents(now time.Time, events []*planningpb.PartEvent) []claim.PartEvent {
	var out []claim.PartEvent
	for _, e := range events {
		out = append(out, claim.PartEvent{
			Part:   claim.Part(e.Part),
			Server: claim.ServerProcess(e.Server),
			At:     now.Add(-time.Duration(e.AgeMs) * time.Millisecond),
		})
	}
	return out
}
