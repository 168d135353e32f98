package planning

import (
	"math"

	"galenastair/peer/planningpb"
	"galenastair/pool"
)

// minInFlight is the number of requests in flight below which a load without pending prompt
// tokens is not sent: each request adds some tenths of a millisecond per token, so fewer do
// not affect the choice of a backend server.
const minInFlight = 6

// pendingTokensUnit is the number of prompt tokens per unit of ExchangeReply.load_unread.
const pendingTokensUnit = 64

func encodeKeyedLoads(out *planningpb.ExchangeReply, loads map[pool.ServerKey]pool.Load) {
	for key, l := range loads {
		if l.PendingTokens < pendingTokensUnit/2 && l.InFlight < minInFlight {
			continue
		}
		out.LoadKeys = append(out.LoadKeys, uint32(key))
		out.LoadFlights = append(out.LoadFlights, uint32(l.InFlight))
		out.LoadUnread = append(out.LoadUnread, uint32(math.Round(l.PendingTokens/pendingTokensUnit)))
	}
}

func decodeKeyedLoads(r *planningpb.ExchangeReply) map[pool.ServerKey]pool.Load {
	out := make(map[pool.ServerKey]pool.Load, len(r.LoadKeys))
	for i, key := range r.LoadKeys {
		if i < len(r.LoadFlights) && i < len(r.LoadUnread) {
			out[pool.ServerKey(key)] = pool.Load{InFlight: float64(r.LoadFlights[i]), PendingTokens: pendingTokensUnit * float64(r.LoadUnread[i])}
		}
	}
	return out
}
