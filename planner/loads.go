package planner

import (
	"galenastair"
	"galenastair/pool"
)

// loads is the load of requests on each backend server.
type loads map[galenastair.BackendServerID]pool.Load

func (l loads) add(more map[galenastair.BackendServerID]pool.Load) {
	for id, m := range more {
		sum := l[id]
		l[id] = pool.Load{InFlight: sum.InFlight + m.InFlight, PendingTokens: sum.PendingTokens + m.PendingTokens}
	}
}

// subtract reverts add. Values are whole numbers, so no rounding error remains.
func (l loads) subtract(less map[galenastair.BackendServerID]pool.Load) {
	for id, m := range less {
		sum := l[id]
		sum.InFlight -= m.InFlight
		sum.PendingTokens -= m.PendingTokens
		if sum.InFlight <= 0 {
			delete(l, id)
			continue
		}
		l[id] = sum
	}
}

func (l loads) byKey() map[pool.ServerKey]pool.Load {
	out := make(map[pool.ServerKey]pool.Load, len(l))
	for id, load := range l {
		out[pool.KeyOf(id)] = load
	}
	return out
}
