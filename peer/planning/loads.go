package planning

import (
	"math"

	"galenastair/peer/planningpb"
	"galenastair/pool"
)

// fewFlights is how many requests, of which none waits to be read, make no difference to the
// choice of a backend server: each adds some tenths of a millisecond to a token.
const fewFlights = 6

// unreadUnit is the prompt tokens that one unit of a message counts for.
const unreadUnit = 64

func encodeKeyedLoads(out *planningpb.ExchangeReply, loads map[pool.ServerKey]pool.Load) {
	for key, l := range loads {
		if l.PendingTokens < unreadUnit/2 && l.InFlight < fewFlights {
			continue
		}
		out.LoadKeys = append(out.LoadKeys, uint32(key))
		out.LoadFlights = append(out.LoadFlights, uint32(l.InFlight))
		out.LoadUnread = append(out.LoadUnread, uint32(math.Round(l.PendingTokens/unreadUnit)))
	}
}

func decodeKeyedLoads(r *planningpb.ExchangeReply) map[pool.ServerKey]pool.Load {
	out := make(map[pool.ServerKey]pool.Load, len(r.LoadKeys))
	for i, key := range r.LoadKeys {
		if i < len(r.LoadFlights) && i < len(r.LoadUnread) {
			out[pool.ServerKey(key)] = pool.Load{InFlight: float64(r.LoadFlights[i]), PendingTokens: unreadUnit * float64(r.LoadUnread[i])}
		}
	}
	return out
}
