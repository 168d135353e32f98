package planner

import (
	"galenastair"
	"galenastair/pool"
)

// loads is what requests put on each backend server.
type loads map[galenastair.BackendServerID]pool.Load

func (l loads) add(more map[galenastair.BackendServerID]pool.Load) {
	for id, m := range more {
		sum := l[id]
		l[id] = pool.Load{Flights: sum.Flights + m.Flights, Unread: sum.Unread + m.Unread}
	}
}

// subtract takes back what was added before; figures are whole numbers, so nothing is left.
func (l loads) subtract(less map[galenastair.BackendServerID]pool.Load) {
	for id, m := range less {
		sum := l[id]
		sum.Flights -= m.Flights
		sum.Unread -= m.Unread
		if sum.Flights <= 0 {
			delete(l, id)
			continue
		}
		l[id] = sum
	}
}

func (l loads) keyed() map[pool.ServerKey]pool.Load {
	out := make(map[pool.ServerKey]pool.Load, len(l))
	for id, load := range l {
		out[pool.KeyOf(id)] = load
	}
	return out
}
